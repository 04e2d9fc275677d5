// Retry policy: time-outs of attempts, windows of idempotency, when to retry and when to give up.
#ifndef DISPATCHER_ROUTING_RETRY_POLICY_HPP_
#define DISPATCHER_ROUTING_RETRY_POLICY_HPP_

#include <optional>

#include "routing/context.hpp"
#include "routing/load_shedding.hpp"
#include "routing/outlier_detection.hpp"

namespace dispatcher::routing::retry_policy {

// Limits of one attempt.
struct AttemptLimits {
  Time deadline{};
  Time connect_by{};  // zero: no limit
};

// Time between two looks at the open requests.
[[nodiscard]] Duration timer_interval(const Settings& settings);

// Whether an effect may have taken place whose repeats are discarded for a while only.
[[nodiscard]] bool needs_deduplication(const RequestState& state);
// Whether the endpoint has answered so many later requests first that the attempt in flight is lost.
[[nodiscard]] bool is_likely_lost(const RequestState& state);
// Limits for an attempt that is sent now; the state already describes it.
[[nodiscard]] AttemptLimits attempt_limits(const Context& context, const OutlierDetection& outliers,
                                           const Endpoint& endpoint, const RequestState& state);
// Whether no further attempt can help: none is left, or there is no time.
[[nodiscard]] bool is_exhausted(const Context& context, const RequestState& state);
// Whether a reader can come up for a request that finds none now: not while its last attempt must both read
// and write and no endpoint does both.
[[nodiscard]] bool can_wait_for_reader(const Context& context, const EndpointTable& endpoints,
                                       const RequestState& state);
// Whether the state that waits at the reader can wait for the next timer.
[[nodiscard]] bool can_wait_for_writer(const Context& context, const RequestState& state);
// Whether there are attempts left for both reading and writing.
[[nodiscard]] bool has_attempts_for_both_stages(const RequestState& state);
// Whether the state has waited at its reader for too long to be tried again.
[[nodiscard]] bool is_reservation_expired(const Context& context, const RequestState& state);
// Whether a request may be tried again after an attempt that ended like this.
[[nodiscard]] bool may_retry(const Context& context, const RequestState& state, AttemptStatus status);
// Whether an attempt that ended like this counts against max_attempts.
[[nodiscard]] bool is_charged(const RequestState& state, AttemptStatus status);
// Whether an attempt that ended like this, in this phase, can't have had an effect.
[[nodiscard]] bool has_no_effect(AttemptStatus status, Phase phase);
// Whether the endpoint of an attempt that ended like this is to be avoided by the request.
[[nodiscard]] bool excludes_endpoint(AttemptStatus status);
// Whether the prompt's state is gone, so that it must be read again.
[[nodiscard]] bool loses_state(const AttemptCompleted& completed);
// Whether the end of such an attempt starts the time anew that a state may wait at its reader.
[[nodiscard]] bool renews_reservation(const RequestState& state, AttemptStatus status);
// Whether the client may safely send the request again after a final rejection.
[[nodiscard]] bool is_retry_safe(const RequestState& state);
// What a rejected client is told to wait, if anything.
[[nodiscard]] std::optional<Duration> retry_after(const RequestState& state);
// Whether the attempt in flight has waited for its first token so long that it should move elsewhere.
[[nodiscard]] bool should_cancel(const Context& context, const OutlierDetection& outliers,
                                 const LoadShedding& shedding, const EndpointTable& endpoints,
                                 const Endpoint& endpoint, const RequestState& state);
// Whether a running stream should move away from its endpoint.
[[nodiscard]] bool should_migrate(const Context& context, const Endpoint& endpoint,
                                  const RequestState& state);
// Whether the attempt in flight has become late: no first token within the objective.
[[nodiscard]] bool has_become_late(Time now, const RequestState& state);
// What the end of an attempt says against its endpoint.
[[nodiscard]] std::optional<Failure> failure_of(const AttemptCompleted& completed, Phase phase,
                                                const LoadShedding& shedding, const Endpoint& endpoint,
                                                const RequestState& state);

}  // namespace dispatcher::routing::retry_policy

#endif  // DISPATCHER_ROUTING_RETRY_POLICY_HPP_
