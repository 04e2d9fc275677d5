// Transfer of what a router has learned to its successor in a hot restart.
#ifndef DISPATCHER_ROUTING_LEARNED_STATE_HPP_
#define DISPATCHER_ROUTING_LEARNED_STATE_HPP_

#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"
#include "routing/response_observer.hpp"

namespace dispatcher::routing {

// Returns what a successor process needs in order to continue: averages, result counts, and the sends to
// endpoints that are warming up.
[[nodiscard]] LearnedState save_learned_state(const Context& context, const ResponseObserver& observer,
                                              const EndpointTable& endpoints);

// Restores a predecessor's state. Endpoints that are not in the table are ignored.
void restore_learned_state(const LearnedState& learned_state, const Context& context,
                           ResponseObserver& observer, EndpointTable& endpoints);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_LEARNED_STATE_HPP_
