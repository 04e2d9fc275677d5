// Runs the steps that bring a router into the state of a row; docs/conformance.md lists them.
#ifndef DISPATCHER_TESTS_CONFORMANCE_STEP_RUNNER_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_STEP_RUNNER_HPP_

#include <string>

#include "table_fields.hpp"
#include "table_runner.hpp"

namespace dispatcher::routing::conformance {

// Runs steps on one router. Refers to the table runner, which must outlive it.
class StepRunner {
 public:
  explicit StepRunner(TableRunner& runner) : runner_(runner) {}

  // Runs one step. Throws std::exception if it is malformed or its effect can't be established.
  void run(const Json& step);

 private:
  // The stage at which the requests of a step are left.
  enum class StateEnd { kRead, kFetched, kDisconnected };
  enum class StreamEnd { kSent, kBegun, kServed };
  static StateEnd parse_state_end(const std::string& word);
  static StreamEnd parse_stream_end(const std::string& word);

  // Each function runs one kind of step.
  void run_list(const Json& step);
  void run_request(const Json& step);
  void run_cached_prefixes(const Json& step);
  void run_reports(const Json& step);
  void run_read(const Json& step);
  void run_first_token(const Json& step);
  void run_serve(const Json& step);
  void run_disconnect(const Json& step);
  void run_failure(const Json& step);
  void run_states(const Json& step);
  void run_streams(const Json& step);
  void run_wait(const Json& step);
  void run_maintenance(const Json& step);

  void report_load(const EndpointId& endpoint, const LoadReport& report);
  void open_stream(const EndpointId& endpoint, StreamEnd end);
  void create_prompt_states(const EndpointId& reader, int count, StateEnd end);

  TableRunner& runner_;
};

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_STEP_RUNNER_HPP_
