// Drives one router for the rows of the tables, as a dispatcher would, beside two reference scorers.
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

// Single-threaded, in virtual time. Throws std::exception where something can't be brought about.
class TableRunner {
 public:
  // How an attempt ends, beside its status.
  struct AttemptEnd {
    LoadReport report{};
    std::optional<int> cached_tokens{};  // of a read; absent: those that the scorer knows of
    bool has_evidence = false;           // of a failure
    bool is_finished = false;
  };

  TableRunner(const Settings& settings, std::uint64_t seed, const Bounds& bounds);

  void update_endpoints(const EndpointList& list);
  void set_administrative_state(const EndpointId& endpoint, AdministrativeState state);
  // Lets time go on, with the timers that are due.
  void advance(Duration time);

  // The request that these fields describe, with a client that waits for `left_ms`, else six seconds.
  [[nodiscard]] Request make_request(const Json& fields) const;
  // Of 100 prompt tokens, without session and shared prefix.
  [[nodiscard]] Request make_unnamed_request();
  // Both return the endpoint that the request's next attempt went to; empty: to none. Where one is named, no
  // other endpoint of its stage is ready meanwhile; it throws where the attempt did not go there all the
  // same.
  EndpointId submit(const Request& request, const std::optional<EndpointId>& only_at = std::nullopt);
  EndpointId complete_read(const RequestId& id, const std::optional<EndpointId>& only_at = std::nullopt);
  void complete(const RequestId& id, AttemptStatus status, const AttemptEnd& end);
  void send_first_token(const RequestId& id, Duration elapsed = std::chrono::milliseconds(20));
  void serve(const RequestId& id, const LoadReport& report = {});
  // Ends its attempt too, if one is in flight.
  void disconnect_client(const RequestId& id, const LoadReport& report = {});

  [[nodiscard]] Role role(const EndpointId& endpoint) const;
  // It was rejected or failed.
  [[nodiscard]] bool is_over(const RequestId& id) const { return requests_.at(id).is_over; }
  [[nodiscard]] const ReferenceScorer& design() const { return design_; }
  [[nodiscard]] const ReferenceScorer& module() const { return module_; }
  [[nodiscard]] TableSizes table_sizes() const { return router_.table_sizes(); }

 private:
  struct RequestRecord {
    Request request;
    EndpointId active_endpoint;  // where an attempt is in flight
    int attempt_count = 0;
    bool is_over = false;  // rejected or failed
  };
  void handle(const Event& event);
  void apply(const Action& action);
  // Runs the function, after which an attempt must be at the endpoint.
  template <typename Function>
  EndpointId with_only(const EndpointId& endpoint, Function function);

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
