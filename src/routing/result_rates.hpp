// Rates of results: how many results a second one warm endpoint of a role gives this router. Support: no
// threshold and no choice.
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
  // `window`: results that are older are not counted. `min_span`: rates are counted over at least this time.
  ResultRates(Duration window, Duration min_span) : window_(window), min_span_(min_span) {}

  // Counting begins.
  void start(Time now) { counting_since_ = now; }
  // The endpoint gave a result: a read prompt or a first token. Results of endpoints that warm up don't
  // count.
  void record_result(const Context& context, const Endpoint& endpoint);
  // Updates rates and counts; to be called at each timer and whenever the endpoints have changed.
  void update(const Context& context, const EndpointTable& endpoints);

  // Results per second that one warm endpoint of the role gives this router. While there is none, the rate of
  // the last ones.
  [[nodiscard]] double rate_per_endpoint(Role role) const { return rates_[role_index(role)]; }
  // Ready endpoints of the role, warm or not.
  [[nodiscard]] double ready_count(Role role) const { return ready_count_[role_index(role)]; }

  // The part of a hot restart's state that is learned here: see learned_state.hpp.
  void save(LearnedState& learned_state) const;
  void restore(const Context& context, const LearnedState& learned_state);

 private:
  // A result of a warm endpoint.
  struct Result {
    Time at{};
    double endpoint_share = 0;  // one over the number of warm endpoints at that time
  };

  // One over the number of warm endpoints of the role.
  [[nodiscard]] double endpoint_share(std::size_t role) const;
  [[nodiscard]] double rate(const Context& context, std::size_t role) const;

  Duration window_, min_span_;
  // By role_index().
  std::array<std::deque<Result>, kRoles> results_;  // the oldest first
  std::array<double, kRoles> warm_count_{};
  std::array<double, kRoles> ready_count_{};
  std::array<double, kRoles> rates_{};  // per second and warm endpoint
  Time counting_since_{};
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_RESULT_RATES_HPP_
