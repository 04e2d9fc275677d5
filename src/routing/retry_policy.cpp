#include "routing/retry_policy.hpp"

#include <algorithm>
#include <cmath>

namespace dispatcher::routing::retry_policy {
namespace {

// Timer interval, unless the settings' tick is longer. src/settings/consistency_checks.cpp repeats it.
constexpr Duration kTimerInterval = Milliseconds(20);
// Number of timer intervals before the client's deadline in which no attempt starts: an answer may have to
// wait for the next timer.
constexpr int kLeadIntervals = 2;
// The time-out of an attempt is its expected time, multiplied by kTimeoutMultiple plus kTimeoutDeviations
// times the relative deviation.
constexpr double kTimeoutMultiple = 3;
constexpr double kTimeoutDeviations = 3;
constexpr double kMinTimeoutObjectives = 1.0;  // shortest time-out, in latency objectives
// Multiple of the time-out that applies at an endpoint that answers other requests. While the expected time
// is unknown, the time-out itself is this multiple of the latency objective.
constexpr double kOverdueMultiple = 3;
// An attempt is probably lost if this many later sends were answered first.
constexpr int kLostAfterLaterSends = 2;
constexpr double kLostTimeoutShare = 0.35;  // share of the time-out after which such an attempt is cancelled
// Time without a response after which streams leave an unresponsive endpoint, in latency objectives.
constexpr double kMigrateQuietObjectives = 0.5;
// Share of the reservation limit after which a prompt's state gets no further attempts.
// src/settings/consistency_checks.cpp repeats it.
constexpr double kReservationShare = 0.7;

// Returns whether another attempt may follow an attempt at the endpoint whose outcome is unknown.
bool may_repeat(const RequestState& state, const Endpoint& endpoint) {
  return state.charged_attempts < state.settings->max_attempts &&
         (endpoint.role == Role::kReader || state.request_class->idempotency == Idempotency::kIdempotent);
}

// Returns the time from which endpoints no longer recognize and discard repeats of the request.
Time deduplication_end(const RequestState& state) {
  return state.first_run_sent_at + state.request_class->deduplication_window;
}

// Returns the time from which endpoints release what they have reserved for the request.
Time reservation_end(const RequestState& state) {
  return state.idle_since + state.settings->reservation_limit;
}

// Returns the time within which the attempt should give its first token or its read prompt.
Duration attempt_timeout(const OutlierDetection& outliers, const Endpoint& endpoint,
                         const RequestState& state) {
  const MovingAverage* average = outliers.start_average(endpoint, state);
  if (average == nullptr) return scaled(state.latency_objective(), kOverdueMultiple);
  const double expected =
      average->mean * state.start_work_tokens * (kTimeoutMultiple + kTimeoutDeviations * average->dev);
  return std::max(Duration(std::llround(expected)), scaled(state.latency_objective(), kMinTimeoutObjectives));
}

// Returns whether the attempt has passed its time-out, which is longer while the endpoint answers others.
bool is_overdue(const Endpoint& endpoint, const RequestState& state, Duration age, Duration timeout) {
  const bool is_silent = endpoint.last_response_at < state.sent_at;
  return age > (is_silent ? timeout : scaled(timeout, kOverdueMultiple));
}

// Returns whether the endpoint's queue delay is far above that of its role's other endpoints. While all of
// them are late, sending attempts elsewhere would only add load.
bool has_unusual_delay(const EndpointTable& endpoints, const Endpoint& endpoint) {
  const RoleStatistics role = endpoints.statistics(endpoint.role);
  const double own = endpoint.queue_delay_ratio;
  const double others_sum = role.queue_delay_ratio_sum - own;
  return own > kOutlierMultiple * others_sum / std::max(1.0, role.delayed - 1);
}

// Returns whether the end of an attempt shows that its request reached the endpoint, because a response came.
bool was_delivered(const AttemptCompleted& completed) {
  switch (completed.status) {
    case AttemptStatus::kServed:
    case AttemptStatus::kError:
    case AttemptStatus::kFull:
    case AttemptStatus::kRead:
      return true;
    case AttemptStatus::kReset:
      return completed.evidence == AttemptEvidence::kEndpointRunning;
    default:
      return false;
  }
}

}  // namespace

Duration timer_interval(const Settings& settings) { return std::max(kTimerInterval, settings.tick); }

bool needs_deduplication(const RequestState& state) {
  return state.may_have_run && state.request_class->idempotency == Idempotency::kKeyed;
}

bool is_likely_lost(const RequestState& state) { return state.later_sends_answered >= kLostAfterLaterSends; }

// If attempts may be cancelled, should_cancel() replaces the time-out, because more is known by then.
AttemptLimits attempt_limits(const Context& context, const OutlierDetection& outliers,
                             const Endpoint& endpoint, const RequestState& state) {
  const Settings& settings = *context.settings;
  Time deadline = state.request.client_deadline;
  if (!settings.may_cancel && may_repeat(state, endpoint))
    deadline = context.now + attempt_timeout(outliers, endpoint, state);
  // A time-out is reported up to one tick late, and the answer to it must still be within the answer slack.
  const Duration answer_time = std::max(Duration(0), settings.tick - state.settings->answer_slack);
  deadline = std::min(state.request.client_deadline - answer_time, deadline);

  Time connect_by = state.has_prompt_state ? reservation_end(state) : Time{};
  // Endpoints recognize a repeat on arrival. One whose connection takes long may arrive after the window.
  if (needs_deduplication(state)) {
    const Time end = deduplication_end(state);
    connect_by = connect_by == Time{} ? end : std::min(connect_by, end);
  }
  return {deadline, connect_by};
}

std::optional<GiveUpReason> exhaustion(const Context& context, const RequestState& state) {
  if (state.charged_attempts >= state.settings->max_attempts) return GiveUpReason::kAttemptsUsedUp;
  const Duration lead = kLeadIntervals * timer_interval(*context.settings);
  if (context.now + lead >= state.request.client_deadline) return GiveUpReason::kDeadlineNear;
  // A repeat after its window would not be recognized, so its effect would take place twice.
  const bool is_window_over = needs_deduplication(state) && context.now >= deduplication_end(state);
  if (is_window_over) return GiveUpReason::kDeduplicationWindowOver;
  return std::nullopt;
}

bool can_wait_for_reader(const Context& context, const EndpointTable& endpoints, const RequestState& state) {
  return has_attempts_for_both_stages(state) || context.settings->writers_can_prefill ||
         endpoints.has_mixed_endpoint();
}

bool can_wait_for_writer(const Context& context, const RequestState& state) {
  const Duration tick = std::max(context.settings->tick, Duration(1));
  const Duration next_timer = (kTimerInterval + tick - Duration(1)) / tick * tick;
  return context.now + next_timer <= reservation_end(state);
}

bool has_attempts_for_both_stages(const RequestState& state) {
  return state.charged_attempts + 2 <= state.settings->max_attempts;
}

bool is_reservation_expired(const Context& context, const RequestState& state) {
  const Duration limit = scaled(state.settings->reservation_limit, kReservationShare);
  return state.has_prompt_state && context.now >= state.idle_since + limit;
}

bool must_read_again(const Context& context, const RequestState& state, const AttemptCompleted& completed) {
  const bool was_written = completed.status != AttemptStatus::kConnectFailed;
  return was_written && !renews_reservation(state, completed) && is_reservation_expired(context, state);
}

std::optional<GiveUpReason> retry_obstacle(const Context& context, const RequestState& state,
                                           AttemptStatus status) {
  const bool is_unsafe =
      state.request_class->idempotency == Idempotency::kNonIdempotent && state.may_have_run;
  if (is_unsafe) return GiveUpReason::kMayHaveRun;
  if (status == AttemptStatus::kNeverSent) return GiveUpReason::kNeverSent;
  if (is_reservation_expired(context, state)) return GiveUpReason::kReservationExpired;
  return std::nullopt;
}

bool is_charged(const RequestState& state, AttemptStatus status) {
  return status != AttemptStatus::kConnectFailed ||
         state.attempt_count > state.settings->free_connect_failures;
}

bool has_no_effect(AttemptStatus status, Phase phase) {
  return status == AttemptStatus::kFull || status == AttemptStatus::kConnectFailed ||
         status == AttemptStatus::kNeverSent || phase == Phase::kReading;
}

bool excludes_endpoint(AttemptStatus status) {
  return status != AttemptStatus::kRead && status != AttemptStatus::kFull;
}

bool loses_state(const AttemptCompleted& completed) {
  const AttemptStatus status = completed.status;
  const bool is_lost =
      status == AttemptStatus::kFull || status == AttemptStatus::kError || status == AttemptStatus::kReset;
  return is_lost && completed.evidence != AttemptEvidence::kNone;
}

// If every attempt renewed the reservation, states would stay reserved beyond their limit. This happened when
// connecting to three writers in succession failed, after 250 ms each, and when requests were written to
// network links that no longer delivered them.
bool renews_reservation(const RequestState& state, const AttemptCompleted& completed) {
  return !state.settings->reservation_expires_until_delivery || was_delivered(completed);
}

// A writer sends nothing before the first token, however long the request waits there, so the router does not
// know whether the request has arrived. If it has, the release does not affect the state, as the attempt
// waits for it. If it has not, the attempt will find no state when it arrives.
bool should_release_in_flight(const Context& context, const RequestState& state) {
  const bool waits_at_writer = state.is_in_flight && state.phase == Phase::kWriting && state.has_prompt_state;
  if (!waits_at_writer || !state.settings->reservation_expires_until_delivery) return false;
  return is_reservation_expired(context, state) || !can_wait_for_writer(context, state);
}

bool is_retry_safe(const RequestState& state) {
  const RequestClass& request_class = *state.request_class;
  if (request_class.idempotency == Idempotency::kIdempotent || !state.may_have_run) return true;
  return request_class.idempotency == Idempotency::kKeyed &&
         request_class.deduplication_scope == DeduplicationScope::kAll;
}

std::optional<Duration> retry_after(const RequestState& state) {
  if (!state.settings->retry_advice) return std::nullopt;
  return std::min(state.settings->max_retry_after, state.latency_objective());
}

bool should_cancel(const Context& context, const OutlierDetection& outliers, const LoadShedding& shedding,
                   const EndpointTable& endpoints, const Endpoint& endpoint, const RequestState& state) {
  const Duration timeout = attempt_timeout(outliers, endpoint, state);
  const Duration age = context.now - state.sent_at;
  const bool is_lost = is_likely_lost(state) && age > scaled(timeout, kLostTimeoutShare);
  if (!is_lost && !(is_overdue(endpoint, state, age, timeout) && has_unusual_delay(endpoints, endpoint) &&
                    shedding.is_latency_outlier(state, age)))
    return false;
  return context.settings->may_cancel && !state.is_cancelled && may_repeat(state, endpoint) &&
         context.now + timeout < state.request.client_deadline;
}

bool should_migrate(const Context& context, const Endpoint& endpoint, const RequestState& state) {
  const bool is_quiet =
      context.now - endpoint.last_response_at > scaled(state.latency_objective(), kMigrateQuietObjectives);
  return endpoint.is_ejected && endpoint.is_unresponsive && is_quiet && context.settings->may_migrate_streams;
}

bool has_become_late(Time now, const RequestState& state) {
  return !state.is_counted_late && state.later_sends_answered == 0 && state.phase != Phase::kStreaming &&
         state.is_in_flight && now > state.sent_at + state.latency_objective();
}

std::optional<Failure> failure_of(const AttemptCompleted& completed, Phase phase,
                                  const LoadShedding& shedding, const Endpoint& endpoint,
                                  const RequestState& state) {
  switch (completed.status) {
    case AttemptStatus::kError:
    case AttemptStatus::kConnectFailed:
      return Failure{completed.status, completed.evidence == AttemptEvidence::kEndpointRunning};
    case AttemptStatus::kReset:
      return Failure{completed.status, true};
    case AttemptStatus::kTimeout:
      if (phase == Phase::kStreaming) return std::nullopt;
      break;
    case AttemptStatus::kCancelled:
      if (state.is_ended) return std::nullopt;
      break;
    default:
      return std::nullopt;
  }
  if (!shedding.is_latency_outlier(state, completed.elapsed)) return std::nullopt;
  return Failure{AttemptStatus::kTimeout, endpoint.last_response_at > state.sent_at};
}

}  // namespace dispatcher::routing::retry_policy
