// Cached prompts: estimates the contents of the endpoints' prefix caches from what this router has sent to
// them. Contains no thresholds and no decisions.
#ifndef DISPATCHER_ROUTING_CACHED_PROMPTS_HPP_
#define DISPATCHER_ROUTING_CACHED_PROMPTS_HPP_

#include <cstddef>
#include <cstdint>

#include "routing/endpoint.hpp"
#include "routing/request_state.hpp"

namespace dispatcher::routing {

// Returns the key of a session's prompts. A session whose shared prefix changes gets a different key.
[[nodiscard]] std::uint64_t session_key(const Request& request);

// Returns the number of tokens of the request's prompt that the endpoint is expected to have in its prefix
// cache.
[[nodiscard]] int cached_tokens(const Endpoint& endpoint, const RequestState& state);

// Records that the request's prompt is sent to the endpoint, which caches it. `max_blocks` is the size of the
// endpoint's cache, in blocks of kBlockTokens.
void record_cached_prompt(Endpoint& endpoint, const RequestState& state, std::size_t max_blocks);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_CACHED_PROMPTS_HPP_
