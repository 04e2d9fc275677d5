// Selection of the endpoint that writes a request's answer.
#ifndef DISPATCHER_ROUTING_WRITER_SELECTION_HPP_
#define DISPATCHER_ROUTING_WRITER_SELECTION_HPP_

#include "routing/eligibility.hpp"

namespace dispatcher::routing {

// Selects a writer for the prompt state that waits at the request's reader or, if no writer is eligible, a
// mixed endpoint. Returns null if no endpoint is eligible now.
[[nodiscard]] Endpoint* choose_writer(const SelectionContext& selection, const RequestState& state);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_WRITER_SELECTION_HPP_
