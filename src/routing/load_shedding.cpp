#include "routing/load_shedding.hpp"

#include <algorithm>
#include <cmath>

#include "routing/hashing.hpp"
#include "routing/retry_policy.hpp"

namespace dispatcher::routing {
namespace {

constexpr Duration kPressureTimeConstant = Milliseconds(4000);  // time constant of the mean latency pressure
constexpr double kOnTimePrior = 2;          // assumed samples without delay: one late answer is no overload
constexpr double kMaxObjectiveRatio = 1.5;  // largest value of a sample, and the value of a late attempt
constexpr double kSheddingPressure = 0.6;   // latency pressure from which the queue is bounded
constexpr Duration kStartWindow = Milliseconds(3000);  // window in which the rate of first tokens is measured
// An attempt that has waited longer than this multiple of its latency objective does not count as queued.
constexpr double kStalledMultiple = 2;
// A request is rejected if less than this multiple of the current time to the first token is left until its
// client's deadline.
constexpr double kMinTimeMultiple = 2;
constexpr double kQueueShare = 0.8;  // share of the shortest objective that an admitted request may wait
constexpr double kOverQuotaQueueShare = 0.3;  // the same for requests over quota, which are shed first

// Returns whether the request waits for its first token in a queue that moves. Requests at unresponsive
// endpoints are not queued: when requests at two such endpoints were counted, all others were rejected.
bool is_queued(Time now, const RequestState& state) {
  const bool is_stalled =
      retry_policy::is_likely_lost(state) ||
      (state.is_in_flight && now > state.sent_at + scaled(state.latency_objective(), kStalledMultiple));
  return !state.is_ended && state.phase != Phase::kStreaming && !is_stalled;
}

}  // namespace

void LoadShedding::apply_settings(const Settings& settings) {
  const auto is_shorter = [](const RequestClass& left, const RequestClass& right) {
    return left.latency_objective < right.latency_objective;
  };
  min_latency_objective_ =
      std::min_element(settings.classes.begin(), settings.classes.end(), is_shorter)->latency_objective;
}

void LoadShedding::record_start(Time now, double objective_ratio) {
  starts_.push_back(now);
  add_sample(now, objective_ratio, 1);
}

void LoadShedding::record_late(Time now) { add_sample(now, kMaxObjectiveRatio, 1); }

void LoadShedding::add_sample(Time now, double objective_ratio, double weight) {
  const double decay = std::exp(-to_seconds(now - lateness_at_) / to_seconds(kPressureTimeConstant));
  lateness_sum_ = lateness_sum_ * decay + weight * std::min(objective_ratio, kMaxObjectiveRatio);
  lateness_weight_ = lateness_weight_ * decay + weight;
  lateness_at_ = now;
}

double LoadShedding::latency_pressure() const { return lateness_sum_ / (lateness_weight_ + kOnTimePrior); }

bool LoadShedding::is_latency_outlier(const RequestState& state, Duration age) const {
  return age > scaled(state.latency_objective(), kOutlierMultiple * latency_pressure());
}

// In a queue that is longer than the latency objective, every request is late, and the queue never drains
// while clients retry. Therefore, while first tokens are late, only requests that should start within the
// shortest objective at the current rate of first tokens are admitted. If there are many routers, each has
// capacity for only a fraction of a request, which a hash rounds. A request whose client would leave before
// its first token is rejected too, as it is wasted work: half of all reads were cancelled for that reason.
bool LoadShedding::should_shed(Time now, const RequestState& state, const RequestTable& requests) {
  add_sample(now, 0, 0);  // decays the mean to `now`
  const double pressure = latency_pressure();
  while (!starts_.empty() && starts_.front() < now - kStartWindow) starts_.pop_front();

  // Queues cause the pressure. The time for reading a long prompt itself does not grow with it.
  const Duration queue_time = scaled(state.request_class->latency_objective, pressure);
  const Duration own_time = state.latency_objective() - state.request_class->latency_objective;
  const Duration start_time = queue_time + scaled(own_time, std::min(1.0, pressure));
  if (state.request.client_deadline - now < scaled(start_time, kMinTimeMultiple)) return true;
  if (pressure < kSheddingPressure) return false;

  double queue_length = -1;  // the loop also counts the request itself
  for (const auto& [id, other] : requests) queue_length += is_queued(now, other) ? 1 : 0;
  const double start_rate = static_cast<double>(starts_.size() + 1) / to_seconds(kStartWindow);
  const double capacity = start_rate * to_seconds(min_latency_objective_) *
                          (state.is_over_quota ? kOverQuotaQueueShare : kQueueShare);
  return unit_interval(hash_text(state.request.id.value()) ^ mix_bits(seed_)) < queue_length - capacity;
}

}  // namespace dispatcher::routing
