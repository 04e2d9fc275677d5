// Selection of the endpoint that reads a request's prompt.
#ifndef DISPATCHER_ROUTING_READER_SELECTION_HPP_
#define DISPATCHER_ROUTING_READER_SELECTION_HPP_

#include "routing/eligibility.hpp"
#include "routing/role_balance.hpp"

namespace dispatcher::routing {

// Selects a reader, a mixed endpoint or, if Settings::writers_can_prefill allows it and there is no other, a
// writer. Endpoints at which an attempt of the request has failed are chosen only if there is no other
// (RequestState::failed_endpoints is then cleared). Returns null if no endpoint is eligible now.
[[nodiscard]] Endpoint* choose_reader(const SelectionContext& selection, const RoleBalance& balance,
                                      RequestState& state);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_READER_SELECTION_HPP_
