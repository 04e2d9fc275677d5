// Warm-up: the capacity that the settings assign to an endpoint that has recently started or returned to
// service. Contains no thresholds and no decisions.
#ifndef DISPATCHER_ROUTING_WARMUP_HPP_
#define DISPATCHER_ROUTING_WARMUP_HPP_

#include "routing/context.hpp"
#include "routing/endpoint.hpp"

namespace dispatcher::routing {

// Returns whether the endpoint's warm-up, which lasts Settings::warmup_time, is not over yet.
[[nodiscard]] bool is_warming_up(const Context& context, const Endpoint& endpoint);

// Returns the share of its capacity that an endpoint has now. It grows linearly from
// Settings::warmup_initial_share to 1.
[[nodiscard]] double warmup_fraction(const Context& context, const Endpoint& endpoint);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_WARMUP_HPP_
