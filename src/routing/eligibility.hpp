// Eligibility: which endpoints a request may go to at all.
#ifndef DISPATCHER_ROUTING_ELIGIBILITY_HPP_
#define DISPATCHER_ROUTING_ELIGIBILITY_HPP_

#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"
#include "routing/request_state.hpp"
#include "routing/slow_start.hpp"

namespace dispatcher::routing {

// What an endpoint would do for a request: only its execution can have an effect.
enum class Step { kRead, kExecute };

// What the selection of an endpoint depends on; refers to the Router's own parts.
struct SelectionContext {
  const Context& context;
  EndpointTable& endpoints;
  const SlowStart& slow_start;
};

[[nodiscard]] bool is_eligible(const SelectionContext& selection, const Endpoint& endpoint,
                               const RequestState& state, Step step);

// An endpoint rejected the request for lack of capacity.
void record_rejection(Time now, Endpoint& endpoint, const RequestState& state);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ELIGIBILITY_HPP_
