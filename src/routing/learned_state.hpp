// What a router hands over in a hot restart, and how its successor takes it over.
#ifndef DISPATCHER_ROUTING_LEARNED_STATE_HPP_
#define DISPATCHER_ROUTING_LEARNED_STATE_HPP_

#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"
#include "routing/response_observer.hpp"

namespace dispatcher::routing {

// What a successor process needs in order to continue.
[[nodiscard]] LearnedState save_learned_state(const Context& context, const ResponseObserver& observer,
                                              const EndpointTable& endpoints);

// Takes it over; endpoints that are not in the table are passed over.
void restore_learned_state(const LearnedState& learned_state, const Context& context,
                           ResponseObserver& observer, EndpointTable& endpoints);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_LEARNED_STATE_HPP_
