#include "routing/cached_prompts.hpp"

#include <algorithm>

#include "routing/hashing.hpp"

namespace dispatcher::routing {

std::uint64_t session_key(const Request& request) {
  return mix_bits(request.session) ^ mix_bits(mix_bits(request.shared_prefix));
}

int cached_tokens(const Endpoint& endpoint, const RequestState& state) {
  const Request& request = state.request;
  const PrefixIndex& index = endpoint.prefix_index;
  const int session = request.session != 0 ? index.cached_tokens(session_prompt(state.session_key)) : 0;
  const int shared = request.shared_prefix != 0 ? index.cached_tokens(shared_prompt(state.affinity_key)) : 0;
  return std::min(std::max(session, std::min(shared, request.prefix_tokens)), request.prompt_tokens);
}

void record_cached_prompt(Endpoint& endpoint, const RequestState& state, std::size_t max_blocks) {
  const Request& request = state.request;
  const bool has_prefix = request.shared_prefix != 0;
  const int own_tokens = request.prompt_tokens - (has_prefix ? request.prefix_tokens : 0);
  PrefixIndex& index = endpoint.prefix_index;
  if (request.session != 0)
    index.insert(session_prompt(state.session_key), request.prompt_tokens, own_tokens, max_blocks);
  if (has_prefix)
    index.insert(shared_prompt(state.affinity_key), request.prefix_tokens, request.prefix_tokens, max_blocks);
}

}  // namespace dispatcher::routing
