// Attempt lifecycle: updates the request's state and the endpoint's counters when an attempt starts, gives
// its first token or ends. Makes no decisions.
#ifndef DISPATCHER_ROUTING_ATTEMPT_LIFECYCLE_HPP_
#define DISPATCHER_ROUTING_ATTEMPT_LIFECYCLE_HPP_

#include <optional>

#include "routing/actions.hpp"
#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"
#include "routing/outlier_detection.hpp"
#include "routing/request_state.hpp"

namespace dispatcher::routing {

// Records that a request was sent to the endpoint by this router or by its peer in a hot restart: both count
// against the slow-start budget. Does nothing unless the endpoint is warming up.
void record_send(const Context& context, Endpoint& endpoint);

// Starts the request's next attempt. `phase` is kReading or kWriting. Returns the action for the dispatcher.
[[nodiscard]] StartAttempt start_attempt(const Context& context, const OutlierDetection& outliers,
                                         const EndpointTable& endpoints, RequestState& state,
                                         Endpoint& endpoint, Phase phase);

// Called when the first token of the attempt in flight has arrived; the attempt is streaming from now on.
// Returns its endpoint, or null if the endpoint is no longer known.
[[nodiscard]] Endpoint* begin_stream(const Context& context, EndpointTable& endpoints, RequestState& state);

// Called when the attempt in flight has ended. Subtracts it from its endpoint's counters.
void end_attempt(const Context& context, EndpointTable& endpoints, RequestState& state,
                 const AttemptCompleted& completed);

// Called when an attempt has ended as kRead. Records that the prompt's state waits at the reader for a
// writer. `reader` is null if the endpoint is no longer known.
void record_prompt_state(RequestState& state, Endpoint* reader, const AttemptCompleted& completed);

// Records that the prompt's state no longer waits at its reader. Does nothing if no state waits there.
void forget_prompt_state(EndpointTable& endpoints, RequestState& state);

// Does the same for a request that no longer needs the state. Returns the action that releases the state, or
// nullopt if no state waits at a reader.
[[nodiscard]] std::optional<ReleaseReservation> release_prompt_state(EndpointTable& endpoints,
                                                                     RequestState& state);

// Called when an attempt has ended in `phase` without a final answer. Records what that means for further
// attempts and which stage the request needs next. `endpoint` is null if it is no longer known.
void record_unanswered(EndpointTable& endpoints, RequestState& state, const Endpoint* endpoint,
                       const AttemptCompleted& completed, Phase phase);

// Marks the attempt in flight as cancelled. Returns the action for the dispatcher.
[[nodiscard]] CancelAttempt cancel_attempt(RequestState& state);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ATTEMPT_LIFECYCLE_HPP_
