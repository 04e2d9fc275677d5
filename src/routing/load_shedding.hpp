// Load shedding: how late first tokens are now, and which requests are rejected because of that.
#ifndef DISPATCHER_ROUTING_LOAD_SHEDDING_HPP_
#define DISPATCHER_ROUTING_LOAD_SHEDDING_HPP_

#include <cstdint>
#include <deque>

#include "routing/context.hpp"
#include "routing/request_state.hpp"

namespace dispatcher::routing {

// Multiple of the usual time, from which a time is clearly unusual.
constexpr double kStandsOutMultiple = 4;

// Measures the latency of first tokens and the rate at which they arrive. Owned by one Router and used on its
// thread.
class LoadShedding {
 public:
  // `seed`: varies, from router to router, the hash by which fractions of a request are rounded.
  explicit LoadShedding(std::uint64_t seed) : seed_(seed) {}

  void apply_settings(const Settings& settings);
  // A first token arrived, after this multiple of its objective.
  void record_start(Time now, double objective_ratio);
  // An attempt in flight has passed its objective without a first token.
  void record_late(Time now);

  // Time to the first token as a multiple of its objective: a mean over the last seconds.
  [[nodiscard]] double latency_pressure() const;
  // Whether an attempt of this age waits clearly longer than first tokens take at all endpoints now. While
  // all are late, a late one is no evidence against its endpoint: under overload, healthy endpoints were
  // ejected.
  [[nodiscard]] bool stands_out(const RequestState& state, Duration age) const;
  // Whether a request that has just arrived must be rejected. `requests` includes it.
  [[nodiscard]] bool should_shed(Time now, const RequestState& state, const RequestTable& requests);

 private:
  // Adds to the exponentially weighted mean; weight 0 only decays it to the present.
  void add_sample(Time now, double objective_ratio, double weight);

  std::uint64_t seed_;
  double lateness_sum_ = 0, lateness_weight_ = 0;
  Time lateness_at_{};
  Duration min_latency_objective_{};  // of all classes: the queue is bounded for the least patient one
  std::deque<Time> starts_;           // recent first tokens, the oldest first
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_LOAD_SHEDDING_HPP_
