// Selection of the endpoint that reads a request's prompt.
#ifndef DISPATCHER_ROUTING_READER_SELECTION_HPP_
#define DISPATCHER_ROUTING_READER_SELECTION_HPP_

#include "routing/eligibility.hpp"
#include "routing/role_balance.hpp"

namespace dispatcher::routing {

// A reader, a mixed endpoint or, where Settings::writers_can_prefill allows it and there is no other, a
// writer. Endpoints at which an attempt of the request has failed are chosen only when there is no other
// (RequestState::failed_endpoints is cleared then). Null: none is eligible now.
[[nodiscard]] Endpoint* choose_reader(const SelectionContext& selection, const RoleBalance& balance,
                                      RequestState& state);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_READER_SELECTION_HPP_
