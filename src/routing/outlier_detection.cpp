#include "routing/outlier_detection.hpp"

#include <algorithm>
#include <cmath>

#include "routing/slow_start.hpp"

namespace dispatcher::routing {
namespace {

constexpr int kMinSamples = 8;  // number of samples from which an average is trusted
// Weight of a sample in a role's averages. Low, as a role has many endpoints.
constexpr double kRoleGain = 0.15;
constexpr double kMaxSampleRatio = 3;  // larger samples are reduced to this multiple of the average
constexpr Smoothing kSmoothing{kMinSamples, kRoleGain, kMaxSampleRatio};
// Weight of a sample in one endpoint's latency ratio. Higher than kRoleGain, as there are few samples.
constexpr double kEndpointGain = 0.25;
constexpr double kMaxLatencyRatio = 8;                           // largest value of one sample of the ratio
constexpr Duration kLatencyRatioHalfLife = Milliseconds(10000);  // half-life of the ratio's distance from 1
constexpr double kNormalQueueDelayRatio = 4;  // a queue delay up to this multiple of the average is normal
constexpr double kMaxQueueDelayFactor = 3;    // largest slowdown that a queue delay counts for
constexpr double kEjectionScore = 2;          // failure score from which an endpoint is ejected
constexpr double kReliableRoleEjectionScore = 1;  // the same while the role's endpoints hardly ever fail
constexpr double kReliableFailureRate = 0.15;     // failures per attempt below which they hardly ever fail
constexpr double kMaxEjectedShare = 0.5;  // largest ejected share of a role; the rest must not be overloaded
constexpr Duration kBaseEjectionTime = Milliseconds(1000);  // doubled for each consecutive ejection
constexpr Duration kMaxEjectionTime = Milliseconds(8000);   // a recovery must be noticed in time
constexpr int kMaxEjectionDoublings = 4;                    // with more doublings the maximum applies anyway

// Returns the index of the start average that applies: that of the endpoint's role, or that of states fetched
// from another cell.
std::size_t average_index(const Endpoint& endpoint, const RequestState& state) {
  return state.fetches_from_other_cell ? kRoles : role_index(endpoint.role);
}

// Returns the latency ratio. Its distance from 1 decays with the time since its last update.
double decayed_latency_ratio(const Context& context, const Endpoint& endpoint) {
  const double age = to_seconds(context.now - endpoint.latency_ratio_at);
  return 1 + (endpoint.latency_ratio - 1) * std::exp2(-age / to_seconds(kLatencyRatioHalfLife));
}

void record_latency_ratio(const Context& context, Endpoint& endpoint, double ratio) {
  endpoint.latency_ratio = decayed_latency_ratio(context, endpoint);
  endpoint.latency_ratio += kEndpointGain * (std::min(ratio, kMaxLatencyRatio) - endpoint.latency_ratio);
  endpoint.latency_ratio_at = context.now;
}

// Returns the reason of an ejection, as it is written to the operators' log.
const char* ejection_reason(AttemptStatus status) {
  if (status == AttemptStatus::kConnectFailed || status == AttemptStatus::kReset) return "unreachable";
  return status == AttemptStatus::kTimeout ? "silent" : "errors";
}

// Excludes an endpoint from selection for a while, unless too many endpoints of its role are ejected already.
// Afterwards single requests that can be retried elsewhere try it: see may_try_ejected() in eligibility.cpp.
std::optional<LogMessage> eject(const Context& context, const EndpointTable& endpoints, Endpoint& endpoint,
                                AttemptStatus status) {
  std::optional<LogMessage> log;
  if (!endpoint.is_ejected) {
    const RoleStatistics role = endpoints.statistics(endpoint.role);
    const double max_ejected = std::max(1.0, role.ready * kMaxEjectedShare);
    if (role.ready < 2 || role.ejected + 1 > max_ejected) return std::nullopt;
    log = LogMessage{"endpoint " + endpoint.endpoint.value() + " ejected: " + ejection_reason(status)};
  }
  const Duration backoff =
      kBaseEjectionTime * (1 << std::min(endpoint.ejection_count, kMaxEjectionDoublings));
  endpoint.is_ejected = true;
  endpoint.is_unresponsive = status == AttemptStatus::kTimeout;
  endpoint.ejected_until = context.now + std::min(kMaxEjectionTime, backoff);
  ++endpoint.ejection_count;
  endpoint.failure_score = 0;
  return log;
}

}  // namespace

double slowdown(const Context& context, const Endpoint& endpoint) {
  return std::max(1.0, decayed_latency_ratio(context, endpoint)) *
         std::clamp(endpoint.queue_delay_ratio / kNormalQueueDelayRatio, 1.0, kMaxQueueDelayFactor);
}

const MovingAverage* OutlierDetection::start_average(const Endpoint& endpoint,
                                                     const RequestState& state) const {
  const ExponentialMovingAverage& average = start_averages_[average_index(endpoint, state)];
  return average.is_trusted(kSmoothing) ? &average : nullptr;
}

double OutlierDetection::record_start(const Context& context, const Endpoint& endpoint,
                                      const RequestState& state, Duration elapsed) {
  ExponentialMovingAverage& average = start_averages_[average_index(endpoint, state)];
  const double per_token = static_cast<double>(elapsed.count()) / state.start_work_tokens;
  const double ratio = average.is_trusted(kSmoothing) ? per_token / average.mean : 1;
  const bool warming_up = is_warming_up(context, endpoint);
  if (!warming_up) average.add(per_token, kSmoothing);
  // A slow link or a warm-up must not count against the endpoint.
  return state.fetches_from_other_cell || warming_up ? std::min(1.0, ratio) : ratio;
}

// A slow writer still starts streams fast, so that only the duration of its streams shows that it is slow.
void OutlierDetection::record_stream(const Context& context, Endpoint& endpoint, const RequestState& state) {
  ExponentialMovingAverage& average = stream_averages_[state.request_class->name];
  const double time = to_seconds(context.now - state.stream_started_at);
  if (average.is_trusted(kSmoothing))
    record_latency_ratio(context, endpoint, std::min(time / average.mean, kMaxSampleRatio));
  average.add(time, kSmoothing);
}

void OutlierDetection::record_wait(Endpoint& endpoint, const RequestState& state, Duration age) const {
  const MovingAverage* average = start_average(endpoint, state);
  if (average == nullptr) return;
  const double ratio = static_cast<double>(age.count()) / (average->mean * state.start_work_tokens);
  endpoint.queue_delay_ratio = std::max(endpoint.queue_delay_ratio, ratio);
}

std::optional<LogMessage> OutlierDetection::record_success(const Context& context, Endpoint& endpoint,
                                                           double latency_ratio) {
  endpoint.last_response_at = context.now;
  failure_rates_[role_index(endpoint.role)] *= 1 - kRoleGain;
  endpoint.failure_score /= 2;
  endpoint.is_unresponsive = false;
  record_latency_ratio(context, endpoint, latency_ratio);
  if (!endpoint.is_ejected) return std::nullopt;
  endpoint.is_ejected = false;
  endpoint.ejection_count = 0;
  return LogMessage{"endpoint " + endpoint.endpoint.value() + " returned"};
}

// Two consecutive failures eject an endpoint. While the role's endpoints hardly ever fail, the first failure
// is enough, and so is a connection that cannot be made. An endpoint that is alive may fail once more,
// because ejecting such endpoints at once removed half of a fleet and overloaded the others.
std::optional<LogMessage> OutlierDetection::record_failure(const Context& context,
                                                           const EndpointTable& endpoints, Endpoint& endpoint,
                                                           Failure failure) {
  double& failure_rate = failure_rates_[role_index(endpoint.role)];
  endpoint.failure_score += 1;
  const bool is_broken =
      failure.status == AttemptStatus::kConnectFailed || failure.status == AttemptStatus::kReset;
  const bool is_role_reliable = failure_rate < kReliableFailureRate;
  const double ejection_score =
      (is_role_reliable ? kReliableRoleEjectionScore : kEjectionScore) + (failure.is_alive ? 1 : 0);
  std::optional<LogMessage> log;
  if ((is_broken && !failure.is_alive) || endpoint.is_ejected || endpoint.failure_score >= ejection_score)
    log = eject(context, endpoints, endpoint, failure.status);
  failure_rate += kRoleGain * (1 - failure_rate);
  return log;
}

void OutlierDetection::save(LearnedState& learned_state) const {
  learned_state.remote_starts = start_averages_[kRoles];
  for (std::size_t role = 0; role < kRoles; ++role) learned_state.starts[role] = start_averages_[role];
}

void OutlierDetection::restore(const LearnedState& learned_state) {
  static_cast<MovingAverage&>(start_averages_[kRoles]) = learned_state.remote_starts;
  for (std::size_t role = 0; role < kRoles; ++role)
    static_cast<MovingAverage&>(start_averages_[role]) = learned_state.starts[role];
}

}  // namespace dispatcher::routing
