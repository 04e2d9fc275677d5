// Retry policy: time-outs of attempts, deduplication windows, when to retry and when to give up. Pure
// functions.
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
  Time connect_by{};  // zero: no limit
};

// Interval at which the open requests are checked.
[[nodiscard]] Duration timer_interval(const Settings& settings);

// Whether the request may have been executed, so that it may only be sent where and while a repeat is
// discarded.
[[nodiscard]] bool needs_deduplication(const RequestState& state);
// Whether the endpoint has answered so many later sends first that the attempt in flight is probably lost.
[[nodiscard]] bool is_likely_lost(const RequestState& state);
// Limits for an attempt that is sent now; `state` already describes it.
[[nodiscard]] AttemptLimits attempt_limits(const Context& context, const OutlierDetection& outliers,
                                           const Endpoint& endpoint, const RequestState& state);
// Why no further attempt can help: none is left, or there is no time. Empty: another one may.
[[nodiscard]] std::optional<GiveUpReason> exhaustion(const Context& context, const RequestState& state);
// Whether a request that finds no reader now may find one later: not if its last attempt must both read and
// write and no endpoint does both.
[[nodiscard]] bool can_wait_for_reader(const Context& context, const EndpointTable& endpoints,
                                       const RequestState& state);
// Whether the prompt's state is still reserved at its reader at the next timer.
[[nodiscard]] bool can_wait_for_writer(const Context& context, const RequestState& state);
// Whether enough attempts are left for one that reads and one that writes.
[[nodiscard]] bool has_attempts_for_both_stages(const RequestState& state);
// Whether the prompt's state has waited at its reader too long for another attempt at a writer.
[[nodiscard]] bool is_reservation_expired(const Context& context, const RequestState& state);
// Why a request may not be tried again after an attempt that ended like this. Empty: it may.
[[nodiscard]] std::optional<GiveUpReason> retry_obstacle(const Context& context, const RequestState& state,
                                                         AttemptStatus status);
// Whether an attempt that ended like this counts against max_attempts.
[[nodiscard]] bool is_charged(const RequestState& state, AttemptStatus status);
// Whether an attempt that ended like this in this phase can't have had an effect.
[[nodiscard]] bool has_no_effect(AttemptStatus status, Phase phase);
// Whether the request must avoid the endpoint of an attempt that ended like this.
[[nodiscard]] bool excludes_endpoint(AttemptStatus status);
// Whether such an attempt consumed or lost the prompt's state, so that the prompt must be read again.
[[nodiscard]] bool loses_state(const AttemptCompleted& completed);
// Whether the end of such an attempt restarts the reservation limit of the prompt's state at its reader.
[[nodiscard]] bool renews_reservation(const RequestState& state, const AttemptCompleted& completed);
// Whether the prompt's state must be released although an attempt at a writer is in flight: nothing shows
// that the attempt has arrived, and the reservation limit runs on.
[[nodiscard]] bool should_release_in_flight(const Context& context, const RequestState& state);
// Whether the prompt must be read again after an attempt at a writer that ended like this: its state has
// waited too long behind an attempt that may not have arrived, and must be released.
[[nodiscard]] bool must_read_again(const Context& context, const RequestState& state,
                                   const AttemptCompleted& completed);
// Whether the client may safely send the request again after a final rejection.
[[nodiscard]] bool is_retry_safe(const RequestState& state);
// After what time a rejected client should retry. Empty: no advice is given.
[[nodiscard]] std::optional<Duration> retry_after(const RequestState& state);
// Whether to cancel the attempt in flight and send another one elsewhere: it is probably lost, or its
// endpoint hangs while others answer.
[[nodiscard]] bool should_cancel(const Context& context, const OutlierDetection& outliers,
                                 const LoadShedding& shedding, const EndpointTable& endpoints,
                                 const Endpoint& endpoint, const RequestState& state);
// Whether a running stream should be migrated, as its endpoint no longer responds.
[[nodiscard]] bool should_migrate(const Context& context, const Endpoint& endpoint,
                                  const RequestState& state);
// Whether the attempt in flight has become late: no first token within the objective.
[[nodiscard]] bool has_become_late(Time now, const RequestState& state);
// The failure of the endpoint that the end of an attempt is evidence of. Empty: none.
[[nodiscard]] std::optional<Failure> failure_of(const AttemptCompleted& completed, Phase phase,
                                                const LoadShedding& shedding, const Endpoint& endpoint,
                                                const RequestState& state);

}  // namespace dispatcher::routing::retry_policy

#endif  // DISPATCHER_ROUTING_RETRY_POLICY_HPP_
