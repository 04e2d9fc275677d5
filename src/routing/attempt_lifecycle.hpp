// The life of an attempt: what its start, first token and end change in its request's state and in the
// counters of its endpoint. Decides nothing.
#ifndef DISPATCHER_ROUTING_ATTEMPT_LIFECYCLE_HPP_
#define DISPATCHER_ROUTING_ATTEMPT_LIFECYCLE_HPP_

#include <optional>

#include "routing/actions.hpp"
#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"
#include "routing/outlier_detection.hpp"
#include "routing/request_state.hpp"

namespace dispatcher::routing {

// Notes that a request was sent to the endpoint, by this router or by its peer in a hot restart, so that both
// count it against the budget of slow start.
void record_send(const Context& context, Endpoint& endpoint);

// Starts the request's next attempt, in phase kReading or kWriting. Returns what the dispatcher has to send.
[[nodiscard]] StartAttempt start_attempt(const Context& context, const OutlierDetection& outliers,
                                         const EndpointTable& endpoints, RequestState& state,
                                         Endpoint& endpoint, Phase phase);

// The first token of the attempt in flight has come: it streams from now on. Returns its endpoint; null: the
// endpoint is no longer known.
[[nodiscard]] Endpoint* begin_stream(const Context& context, EndpointTable& endpoints, RequestState& state);

// The attempt in flight is over: its endpoint's counters no longer include it.
void end_attempt(const Context& context, EndpointTable& endpoints, RequestState& state, AttemptStatus status);

// The attempt ended as kRead: the prompt's state waits at the reader for a writer. `reader` is null if the
// endpoint is no longer known.
void hold_prompt_state(RequestState& state, Endpoint* reader, const AttemptCompleted& completed);

// The prompt's state no longer waits at its reader. Nothing happens if there is none.
void forget_prompt_state(EndpointTable& endpoints, RequestState& state);

// The same for a request that no longer needs it. Returns what releases it; empty if there is none.
[[nodiscard]] std::optional<ReleaseReservation> release_prompt_state(EndpointTable& endpoints,
                                                                     RequestState& state);

// The attempt ended in this phase without a final answer: notes what it means for further attempts, and
// which stage the request needs now. `endpoint` is null if it is no longer known.
void record_unanswered(EndpointTable& endpoints, RequestState& state, const Endpoint* endpoint,
                       const AttemptCompleted& completed, Phase phase);

// Returns the cancellation of the attempt in flight.
[[nodiscard]] CancelAttempt cancel_attempt(RequestState& state);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ATTEMPT_LIFECYCLE_HPP_
