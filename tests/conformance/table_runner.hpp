// Drives one router for the rows of the tables, as a dispatcher would, along with two reference scorers.
#ifndef DISPATCHER_TESTS_CONFORMANCE_TABLE_RUNNER_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_TABLE_RUNNER_HPP_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "reference_scorer.hpp"
#include "table_fields.hpp"

namespace dispatcher::routing::conformance {

// Single-threaded, in virtual time. Throws std::exception if a state can't be established.
class TableRunner {
 public:
  // How an attempt ends, in addition to its status.
  struct AttemptEnd {
    LoadReport report{};
    std::optional<int> cached_tokens{};  // of a read; if absent, the number that the scorer expects
    bool has_evidence = false;           // whether a failure has evidence
    bool is_finished = false;
  };

  TableRunner(const Settings& settings, std::uint64_t seed, const Bounds& bounds);

  void update_endpoints(const EndpointList& list);
  void set_administrative_state(const EndpointId& endpoint, AdministrativeState state);
  // Advances the time and delivers the timers that become due.
  void advance(Duration time);

  // Returns the request that these fields describe. Its client waits for `left_ms`, or six seconds if absent.
  [[nodiscard]] Request make_request(const Json& fields) const;
  // Returns a request of 100 prompt tokens, without a session or a shared prefix, with an id of its own.
  [[nodiscard]] Request make_unnamed_request();
  // Both return the endpoint that the request's next attempt was sent to; empty if there was none. If
  // `only_at` is given, no other endpoint of its stage is ready during the call, which throws if the attempt
  // was not sent to `only_at`.
  EndpointId submit(const Request& request, const std::optional<EndpointId>& only_at = std::nullopt);
  EndpointId complete_read(const RequestId& id, const std::optional<EndpointId>& only_at = std::nullopt);
  void complete(const RequestId& id, AttemptStatus status, const AttemptEnd& end);
  void send_first_token(const RequestId& id, Duration elapsed = std::chrono::milliseconds(20));
  void serve(const RequestId& id, const LoadReport& report = {});
  // Reports that the client is gone. Also ends the request's attempt if one is in flight.
  void disconnect_client(const RequestId& id, const LoadReport& report = {});

  [[nodiscard]] Role role(const EndpointId& endpoint) const;
  // Returns whether the request was rejected or failed.
  [[nodiscard]] bool is_over(const RequestId& id) const { return requests_.at(id).is_over; }
  [[nodiscard]] const ReferenceScorer& design() const { return design_; }
  [[nodiscard]] const ReferenceScorer& module() const { return module_; }
  [[nodiscard]] TableSizes table_sizes() const { return router_.table_sizes(); }

 private:
  struct RequestRecord {
    Request request;
    EndpointId active_endpoint;  // where an attempt is in flight, if any
    int attempt_count = 0;
    bool is_over = false;  // rejected or failed
  };
  void handle(const Event& event);
  void apply(const Action& action);
  // Runs the function while no other endpoint of the same stage is ready. Throws if no attempt is at the
  // endpoint afterwards.
  template <typename Function>
  EndpointId with_only_ready(const EndpointId& endpoint, Function function);

  Router router_;
  ReferenceScorer design_, module_;  // without and with the module's deviations
  Time now_ = std::chrono::seconds(1000);
  std::map<EndpointId, EndpointInfo> listed_;
  std::map<EndpointId, Role> roles_;
  std::map<RequestId, RequestRecord> requests_;
  std::multimap<Time, std::uint64_t> timers_;
  int unnamed_requests_ = 0;
};

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_TABLE_RUNNER_HPP_
