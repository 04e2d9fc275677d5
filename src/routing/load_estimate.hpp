// Estimates of an endpoint's load from its latest report, by its age, and from what this router has sent
// since.
#ifndef DISPATCHER_ROUTING_LOAD_ESTIMATE_HPP_
#define DISPATCHER_ROUTING_LOAD_ESTIMATE_HPP_

#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"

namespace dispatcher::routing {

// Expected work at the endpoint up to the first token of an attempt that reads so many tokens, in prompt
// tokens.
[[nodiscard]] double start_work(const Endpoint& endpoint, double tokens_to_read);

// A reported value, moved towards the mean of all reports the more, the older it is.
[[nodiscard]] double aged_report(const Context& context, const Endpoint& endpoint, double value, double mean);

// Work that waits at an endpoint which reads prompts, in prompt tokens; more at one that is slow or warming
// up, by the same factor.
[[nodiscard]] double prompt_load(const Context& context, const Endpoint& endpoint,
                                 const RoleStatistics& role);

// Streams at a writer with one more request; more at one that is slow or warming up, by the same factor.
[[nodiscard]] double stream_load(const Context& context, const Endpoint& endpoint);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_LOAD_ESTIMATE_HPP_
