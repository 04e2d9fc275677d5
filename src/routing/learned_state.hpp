// Transfer of what a router has learned to its successor in a hot restart.
#ifndef DISPATCHER_ROUTING_LEARNED_STATE_HPP_
#define DISPATCHER_ROUTING_LEARNED_STATE_HPP_

#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"
#include "routing/response_observer.hpp"

namespace dispatcher::routing {

// What a successor process needs in order to continue: averages, result counts, and sends to endpoints that
// warm up.
[[nodiscard]] LearnedState save_learned_state(const Context& context, const ResponseObserver& observer,
                                              const EndpointTable& endpoints);

// Continues from a predecessor's state; endpoints that are not in the table are ignored.
void restore_learned_state(const LearnedState& learned_state, const Context& context,
                           ResponseObserver& observer, EndpointTable& endpoints);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_LEARNED_STATE_HPP_
