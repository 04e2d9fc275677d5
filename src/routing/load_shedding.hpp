// Load shedding: measures how late first tokens currently are, and decides which requests are rejected
// because of that.
#ifndef DISPATCHER_ROUTING_LOAD_SHEDDING_HPP_
#define DISPATCHER_ROUTING_LOAD_SHEDDING_HPP_

#include <cstdint>
#include <deque>

#include "routing/context.hpp"
#include "routing/request_state.hpp"

namespace dispatcher::routing {

// A time above this multiple of the usual time is an outlier.
constexpr double kOutlierMultiple = 4;

// Measures the latency of first tokens and the rate at which they arrive. Owned by one Router and used on its
// thread.
class LoadShedding {
 public:
  // `seed` makes the hash by which fractions of a request are rounded differ between routers.
  explicit LoadShedding(std::uint64_t seed) : seed_(seed) {}

  void apply_settings(const Settings& settings);
  // Records that a first token arrived after this multiple of its latency objective.
  void record_start(Time now, double objective_ratio);
  // Records that an attempt in flight has passed its latency objective without a first token.
  void record_late(Time now);

  // Returns the time to the first token as a multiple of its objective, averaged over the last seconds.
  [[nodiscard]] double latency_pressure() const;
  // Returns whether an attempt of this age has waited much longer than first tokens currently take at all
  // endpoints. While all first tokens are late, a late one is no evidence against its endpoint: healthy
  // endpoints were ejected for it under overload.
  [[nodiscard]] bool is_latency_outlier(const RequestState& state, Duration age) const;
  // Returns whether a request that has just arrived must be rejected. `requests` includes it.
  [[nodiscard]] bool should_shed(Time now, const RequestState& state, const RequestTable& requests);

 private:
  // Adds a sample to the exponentially weighted mean. A weight of 0 only decays the mean to `now`.
  void add_sample(Time now, double objective_ratio, double weight);

  std::uint64_t seed_;
  double lateness_sum_ = 0, lateness_weight_ = 0;
  Time lateness_at_{};
  Duration min_latency_objective_{};  // shortest of all classes; bounds the queue
  std::deque<Time> starts_;           // arrival times of recent first tokens, oldest first
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_LOAD_SHEDDING_HPP_
