// Retry policy: determines time-outs of attempts and deduplication windows, and when to retry and when to
// give up. Consists of pure functions.
#ifndef DISPATCHER_ROUTING_RETRY_POLICY_HPP_
#define DISPATCHER_ROUTING_RETRY_POLICY_HPP_

#include <optional>

#include "routing/actions.hpp"
#include "routing/context.hpp"
#include "routing/load_shedding.hpp"
#include "routing/outlier_detection.hpp"

namespace dispatcher::routing::retry_policy {

// Limits of one attempt.
struct AttemptLimits {
  Time deadline{};
  Time connect_by{};  // zero if there is no limit
};

// Returns the interval at which the open requests are checked.
[[nodiscard]] Duration timer_interval(const Settings& settings);

// Returns whether the request may have been executed, so that it may be sent only where and while a repeat is
// discarded.
[[nodiscard]] bool needs_deduplication(const RequestState& state);
// Returns whether the attempt in flight is probably lost, as its endpoint answered enough later sends first.
[[nodiscard]] bool is_likely_lost(const RequestState& state);
// Returns the limits for an attempt that is sent now. `state` already describes this attempt.
[[nodiscard]] AttemptLimits attempt_limits(const Context& context, const OutlierDetection& outliers,
                                           const Endpoint& endpoint, const RequestState& state);
// Returns why no further attempt can help: none is left, or there is no time. Returns nullopt if another
// attempt may help.
[[nodiscard]] std::optional<GiveUpReason> exhaustion(const Context& context, const RequestState& state);
// Returns whether a request that finds no reader now may find one later. Returns false if its last attempt
// must both read and write and no endpoint does both.
[[nodiscard]] bool can_wait_for_reader(const Context& context, const EndpointTable& endpoints,
                                       const RequestState& state);
// Returns whether the prompt's state will still be reserved at its reader at the next timer.
[[nodiscard]] bool can_wait_for_writer(const Context& context, const RequestState& state);
// Returns whether enough attempts are left for one that reads and one that writes.
[[nodiscard]] bool has_attempts_for_both_stages(const RequestState& state);
// Returns whether the prompt's state has waited at its reader too long for another attempt at a writer.
[[nodiscard]] bool is_reservation_expired(const Context& context, const RequestState& state);
// Returns why a request may not be retried after an attempt that ended with `status`, or nullopt if it may.
[[nodiscard]] std::optional<GiveUpReason> retry_obstacle(const Context& context, const RequestState& state,
                                                         AttemptStatus status);
// Returns whether an attempt that ended with `status` counts against max_attempts.
[[nodiscard]] bool is_charged(const RequestState& state, AttemptStatus status);
// Returns whether an attempt that ended with `status` in `phase` cannot have had an effect.
[[nodiscard]] bool has_no_effect(AttemptStatus status, Phase phase);
// Returns whether the request must avoid the endpoint of an attempt that ended with `status`.
[[nodiscard]] bool excludes_endpoint(AttemptStatus status);
// Returns whether the attempt that ended consumed or lost the prompt's state, so that the prompt must be read
// again.
[[nodiscard]] bool loses_state(const AttemptCompleted& completed);
// Returns whether the end of this attempt restarts the reservation limit of the prompt's state at its reader.
[[nodiscard]] bool renews_reservation(const RequestState& state, const AttemptCompleted& completed);
// Returns whether the prompt's state must be released although an attempt at a writer is in flight. This is
// the case when nothing shows that the attempt has arrived while the reservation limit runs on.
[[nodiscard]] bool should_release_in_flight(const Context& context, const RequestState& state);
// Returns whether the prompt must be read again after an attempt at a writer has ended. This is the case when
// its state has waited too long for an attempt that may not have arrived, and must be released.
[[nodiscard]] bool must_read_again(const Context& context, const RequestState& state,
                                   const AttemptCompleted& completed);
// Returns whether the client may safely send the request again after a final rejection.
[[nodiscard]] bool is_retry_safe(const RequestState& state);
// Returns the time after which a rejected client should retry, or nullopt if no advice is given.
[[nodiscard]] std::optional<Duration> retry_after(const RequestState& state);
// Returns whether to cancel the attempt in flight and send another one elsewhere, because it is probably lost
// or its endpoint hangs while others answer.
[[nodiscard]] bool should_cancel(const Context& context, const OutlierDetection& outliers,
                                 const LoadShedding& shedding, const EndpointTable& endpoints,
                                 const Endpoint& endpoint, const RequestState& state);
// Returns whether a running stream should be migrated because its endpoint no longer responds.
[[nodiscard]] bool should_migrate(const Context& context, const Endpoint& endpoint,
                                  const RequestState& state);
// Returns whether the attempt in flight has become late, i.e. has no first token within the latency
// objective. Returns false if the request was counted as late before, or if later sends were answered first.
[[nodiscard]] bool has_become_late(Time now, const RequestState& state);
// Returns the failure of the endpoint that the end of an attempt is evidence of, or nullopt if there is none.
[[nodiscard]] std::optional<Failure> failure_of(const AttemptCompleted& completed, Phase phase,
                                                const LoadShedding& shedding, const Endpoint& endpoint,
                                                const RequestState& state);

}  // namespace dispatcher::routing::retry_policy

#endif  // DISPATCHER_ROUTING_RETRY_POLICY_HPP_
