// Result rates: how many results per second this router gets from one warm endpoint of a role. Contains no
// thresholds and no decisions.
#ifndef DISPATCHER_ROUTING_RESULT_RATES_HPP_
#define DISPATCHER_ROUTING_RESULT_RATES_HPP_

#include <array>
#include <deque>

#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"

namespace dispatcher::routing {

// Counts the results of warm endpoints over a sliding window. Owned by SlowStart and used on its Router's
// thread.
class ResultRates {
 public:
  // Results older than `window` are not counted. Rates are measured over at least `min_span`.
  ResultRates(Duration window, Duration min_span) : window_(window), min_span_(min_span) {}

  // Starts the counting of results.
  void start(Time now) { counting_since_ = now; }
  // Called when the endpoint has given a result: a read prompt or a first token. Results of endpoints that
  // are warming up do not count.
  void record_result(const Context& context, const Endpoint& endpoint);
  // Updates rates and counts. Must be called at each timer and whenever the endpoints have changed.
  void update(const Context& context, const EndpointTable& endpoints);

  // Returns the number of results per second that this router gets from one warm endpoint of the role. While
  // no endpoint is warm, returns the last rate that was measured.
  [[nodiscard]] double rate_per_endpoint(Role role) const { return rates_[role_index(role)]; }
  // Returns the number of ready endpoints of the role, warm or not.
  [[nodiscard]] double ready_count(Role role) const { return ready_count_[role_index(role)]; }

  // Save and restore this module's part of the state that a hot restart transfers; see learned_state.hpp.
  void save(LearnedState& learned_state) const;
  void restore(const Context& context, const LearnedState& learned_state);

 private:
  // A result of a warm endpoint.
  struct Result {
    Time at{};
    double endpoint_share = 0;  // 1 / number of warm endpoints of the role at that time
  };

  // Returns 1 / number of warm endpoints of the role.
  [[nodiscard]] double endpoint_share(std::size_t role) const;
  [[nodiscard]] double rate(const Context& context, std::size_t role) const;

  Duration window_, min_span_;
  // The arrays are indexed by role_index().
  std::array<std::deque<Result>, kRoles> results_;  // oldest first
  std::array<double, kRoles> warm_count_{};
  std::array<double, kRoles> ready_count_{};
  std::array<double, kRoles> rates_{};  // per second and warm endpoint
  Time counting_since_{};
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_RESULT_RATES_HPP_
