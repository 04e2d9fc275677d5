// Cached prompts: what this router expects endpoints to have in their prefix caches, from what it has sent
// them. Support: no threshold and no choice.
#ifndef DISPATCHER_ROUTING_CACHED_PROMPTS_HPP_
#define DISPATCHER_ROUTING_CACHED_PROMPTS_HPP_

#include <cstddef>
#include <cstdint>

#include "routing/endpoint.hpp"
#include "routing/request_state.hpp"

namespace dispatcher::routing {

// The key of a session's prompts. A session whose shared prefix changes gets another one.
[[nodiscard]] std::uint64_t session_key(const Request& request);

// Tokens of the request's prompt that the endpoint is expected to have in its prefix cache.
[[nodiscard]] int cached_tokens(const Endpoint& endpoint, const RequestState& state);

// Records that the request's prompt is sent to the endpoint, which caches it. `max_blocks`: size of its
// cache, in blocks of kBlockTokens.
void record_cached_prompt(Endpoint& endpoint, const RequestState& state, std::size_t max_blocks);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_CACHED_PROMPTS_HPP_
