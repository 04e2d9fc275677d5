// Load shedding: how late first tokens come now, and which requests are rejected for it.
#ifndef DISPATCHER_ROUTING_LOAD_SHEDDING_HPP_
#define DISPATCHER_ROUTING_LOAD_SHEDDING_HPP_

#include <cstdint>
#include <deque>

#include "routing/context.hpp"
#include "routing/request_state.hpp"

namespace dispatcher::routing {

// Multiple of what is usual, from which a time is clearly more than that.
constexpr double kStandsOutMultiple = 4;

// Owned by one Router and used on its thread.
class LoadShedding {
 public:
  // `seed` settles by hash what fraction of a queue's last place this router has.
  explicit LoadShedding(std::uint64_t seed) : seed_(seed) {}

  void apply_settings(const Settings& settings);
  // A first token came, after this multiple of its objective.
  void record_start(Time now, double objective_ratio);
  // An attempt in flight has passed its objective without a first token.
  void record_late(Time now);

  // How late first tokens come, as a share of their objectives: a mean over the last seconds.
  [[nodiscard]] double latency_pressure() const;
  // Whether this age is clearly more than what first tokens take everywhere now. While all are late, being
  // late says nothing about one endpoint: ejecting for it took healthy endpoints out in a jam.
  [[nodiscard]] bool stands_out(const RequestState& state, Duration age) const;
  // Whether a request that has just come must be rejected. `requests` includes it.
  [[nodiscard]] bool should_shed(Time now, const RequestState& state, const RequestTable& requests);

 private:
  void add_sample(Time now, double objective_ratio, double weight);

  std::uint64_t seed_;
  double lateness_sum_ = 0, lateness_weight_ = 0;
  Time lateness_at_{};
  Duration min_latency_objective_{};  // of all classes: patient requests must not fill the others' queue
  std::deque<Time> starts_;           // recent first tokens
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_LOAD_SHEDDING_HPP_
