// The lifecycle of an attempt: what its start, first token and end change in its request's state and in the
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

// Records that a request was sent to the endpoint, by this router or by its peer in a hot restart: both count
// against the budget of slow start.
void record_send(const Context& context, Endpoint& endpoint);

// Starts the request's next attempt, in phase kReading or kWriting. Returns what the dispatcher has to send.
[[nodiscard]] StartAttempt start_attempt(const Context& context, const OutlierDetection& outliers,
                                         const EndpointTable& endpoints, RequestState& state,
                                         Endpoint& endpoint, Phase phase);

// The first token of the attempt in flight has arrived: it is streaming from now on. Returns its endpoint;
// null: the endpoint is no longer known.
[[nodiscard]] Endpoint* begin_stream(const Context& context, EndpointTable& endpoints, RequestState& state);

// The attempt in flight has ended: subtracts it from its endpoint's counters.
void end_attempt(const Context& context, EndpointTable& endpoints, RequestState& state,
                 const AttemptCompleted& completed);

// The attempt ended as kRead: the prompt's state waits at the reader for a writer. `reader` is null if the
// endpoint is no longer known.
void record_prompt_state(RequestState& state, Endpoint* reader, const AttemptCompleted& completed);

// The prompt's state no longer waits at its reader. Does nothing if there is none.
void forget_prompt_state(EndpointTable& endpoints, RequestState& state);

// The same for a request that no longer needs the state. Returns what releases it; empty if there is none.
[[nodiscard]] std::optional<ReleaseReservation> release_prompt_state(EndpointTable& endpoints,
                                                                     RequestState& state);

// The attempt ended in this phase without a final answer: records what that means for further attempts, and
// which stage the request needs next. `endpoint` is null if it is no longer known.
void record_unanswered(EndpointTable& endpoints, RequestState& state, const Endpoint* endpoint,
                       const AttemptCompleted& completed, Phase phase);

// Marks the attempt in flight as cancelled. Returns what the dispatcher has to cancel.
[[nodiscard]] CancelAttempt cancel_attempt(RequestState& state);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ATTEMPT_LIFECYCLE_HPP_
