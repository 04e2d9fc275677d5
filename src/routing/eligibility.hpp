// Eligibility: determines which endpoints may be chosen for a request at all.
#ifndef DISPATCHER_ROUTING_ELIGIBILITY_HPP_
#define DISPATCHER_ROUTING_ELIGIBILITY_HPP_

#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"
#include "routing/request_state.hpp"
#include "routing/slow_start.hpp"

namespace dispatcher::routing {

// What an endpoint would do for a request. Reading a prompt has no effect that a client can see; executing
// the request may have one.
enum class Step { kRead, kExecute };

// The inputs of the selection of an endpoint. Holds references to parts of the Router, for one call.
struct SelectionContext {
  const Context& context;
  EndpointTable& endpoints;
  const SlowStart& slow_start;
};

// Returns whether the request may be sent to the endpoint now, for this step. The endpoint must be ready, not
// full and not ejected (or due for a trial request). No earlier attempt of the request may have failed there,
// and the endpoint must not have rejected the request's class and tenant recently. Slow start and the
// request's idempotency must allow it.
[[nodiscard]] bool is_eligible(const SelectionContext& selection, const Endpoint& endpoint,
                               const RequestState& state, Step step);

// Records that the endpoint rejected the request for lack of capacity.
void record_rejection(Time now, Endpoint& endpoint, const RequestState& state);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ELIGIBILITY_HPP_
