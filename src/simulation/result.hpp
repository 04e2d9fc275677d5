// The result of a simulation: the outcome of each request, and totals of the fleet.
#ifndef DISPATCHER_SIMULATION_RESULT_HPP_
#define DISPATCHER_SIMULATION_RESULT_HPP_

#include <cstddef>
#include <string>
#include <vector>

#include "routing/router.hpp"

namespace dispatcher::simulation {

using routing::Duration;
using routing::Time;

// The start of the virtual clock, in January 2027. It is a Unix time because the deadlines of clients are
// Unix times.
inline constexpr Time kSimulationStart = std::chrono::seconds(1'800'000'000);

// The outcome of one request.
struct RequestOutcome {
  // How a request ended. kCut: its stream was aborted. kShed: a degradation level shed it. kOpen: it had not
  // ended when the simulation ended. The columns of reports have the same order.
  enum class End { kServed, kCut, kRejected, kShed, kFailed, kOpen };
  static constexpr std::size_t kEndCount = 6;

  std::string request_class;
  End end = End::kOpen;
  Time submitted_at{};
  Duration latency_objective{};    // of its class, for the length of its prompt
  Duration time_to_first_token{};  // set for requests that got a first token
  bool is_in_time = false;         // whether the first token met the objective
};

// Returns the name of the end in summaries and CSV headers.
[[nodiscard]] const char* name(RequestOutcome::End end);

// The outcomes and totals of one simulation.
struct Result {
  std::vector<RequestOutcome> outcomes;  // in the order of submission
  // The sum of the priority weights of served requests. A late one counts with its class's late_weight.
  double served_weight = 0;
  double total_weight = 0;               // the sum of the priority weights of all requests
  std::size_t duplicate_executions = 0;  // non-idempotent requests that were executed more than once
  std::size_t leaked_states = 0;         // KV caches that are still retained at the end
  std::size_t level_changes = 0;         // changes of the degradation level, over all dispatchers
  // Returns the fraction of the class's requests that were served in time; 1 if it had none.
  [[nodiscard]] double in_time_fraction(const std::string& request_class) const;
  // Returns a table in CSV with a row for each second and class, which counts requests by their outcome.
  [[nodiscard]] std::string csv() const;
};

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_RESULT_HPP_
