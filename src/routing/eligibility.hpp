// Eligibility: which endpoints may be chosen for a request at all.
#ifndef DISPATCHER_ROUTING_ELIGIBILITY_HPP_
#define DISPATCHER_ROUTING_ELIGIBILITY_HPP_

#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"
#include "routing/request_state.hpp"
#include "routing/slow_start.hpp"

namespace dispatcher::routing {

// What an endpoint would do for a request. Reading a prompt has no effect that a client can see; execution
// may have.
enum class Step { kRead, kExecute };

// What the selection of an endpoint depends on. Refers to parts of the Router, for one call.
struct SelectionContext {
  const Context& context;
  EndpointTable& endpoints;
  const SlowStart& slow_start;
};

// Whether the endpoint may be sent the request now, for this step: it is ready, not full, not ejected, has
// not failed or rejected the request, and slow start and the request's idempotency allow it.
[[nodiscard]] bool is_eligible(const SelectionContext& selection, const Endpoint& endpoint,
                               const RequestState& state, Step step);

// Records that the endpoint rejected the request for lack of capacity.
void record_rejection(Time now, Endpoint& endpoint, const RequestState& state);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ELIGIBILITY_HPP_
