// Estimates an endpoint's load from its latest report, discounted by the report's age, and from what this
// router has sent since.
#ifndef DISPATCHER_ROUTING_LOAD_ESTIMATE_HPP_
#define DISPATCHER_ROUTING_LOAD_ESTIMATE_HPP_

#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"

namespace dispatcher::routing {

// Returns the work that is expected at the endpoint until the first token of an attempt that reads
// `tokens_to_read` tokens there. The unit is prompt tokens.
[[nodiscard]] double start_work(const Endpoint& endpoint, double tokens_to_read);

// Returns a reported value, moved towards `mean`, the mean of all reports. The older the report is, the
// closer the result is to the mean.
[[nodiscard]] double aged_report(const Context& context, const Endpoint& endpoint, double value, double mean);

// Returns the work that waits at an endpoint that reads prompts, in prompt tokens. If the endpoint is slow or
// warming up, the work is scaled up accordingly. `role` holds the statistics of the endpoint's role.
[[nodiscard]] double prompt_load(const Context& context, const Endpoint& endpoint,
                                 const RoleStatistics& role);

// Returns the number of streams at a writer with one more request, scaled up in the same way.
[[nodiscard]] double stream_load(const Context& context, const Endpoint& endpoint);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_LOAD_ESTIMATE_HPP_
