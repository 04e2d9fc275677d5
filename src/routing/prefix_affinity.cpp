#include "routing/prefix_affinity.hpp"

#include <algorithm>

#include "routing/hashing.hpp"

namespace dispatcher::routing {
namespace {

constexpr std::size_t kDefaultMaxBlocks = 31250;  // of a reader's cache, where its size is unknown
constexpr std::uint64_t kMinCopies = 2;           // places of a shared prefix: one reader may fail
constexpr std::uint64_t kMaxCopies = 64;          // more would push other prompts out of the caches
constexpr double kCopiesPerReaderShare = 4;       // a prefix of half of all requests: twice all readers
constexpr double kPopularityWindow = 64;          // requests after which all counts are halved
constexpr double kMinPopularity = 0.5;            // smaller counts are forgotten

}  // namespace

// What a count of one is worth follows from how many prefixes were seen once and twice (absolute discounting:
// Ney, Essen, Kneser, 1994). Where most are rare a single request shows no popularity, and copies of rare
// prefixes would push all else out of the caches.
void PrefixAffinity::record(std::uint64_t shared_prefix) {
  if (shared_prefix == 0) return;
  popularity_[shared_prefix] += 1;
  total_ += 1;
  double once = 0;
  double twice = 0;
  for (const auto& [key, count] : popularity_) {
    if (count < 1.5) {
      once += 1;
    } else if (count < 2.5) {
      twice += 1;
    }
  }
  discount_ = once / std::max(once + 2 * twice, 1.0);
  if (total_ < kPopularityWindow) return;
  for (auto& [key, count] : popularity_) count /= 2;
  std::erase_if(popularity_, [](const auto& entry) { return entry.second < kMinPopularity; });
  total_ /= 2;
}

// A shared prefix has several places, more the more popular it is, and a session has one of them. So routers
// that share nothing send a session and its prefix to the same reader, and a popular prefix finds enough
// readers. Requests without a key go where the router's number leads them.
std::uint64_t PrefixAffinity::affinity_key(const Request& request, int router_number,
                                           double reader_count) const {
  if (request.shared_prefix == 0) {
    if (request.session != 0) return mix_bits(request.session);
    return mix_bits(hash_text(request.id.value()) ^ mix_bits(static_cast<std::uint64_t>(router_number)));
  }
  const auto known = popularity_.find(request.shared_prefix);
  const double count = known == popularity_.end() ? 0 : known->second - discount_;
  const double share = count / std::max(total_, kPopularityWindow / 2);
  const double wanted = share * kCopiesPerReaderShare * reader_count;
  std::uint64_t copies = kMinCopies;
  while (copies < kMaxCopies && static_cast<double>(copies) < wanted) copies *= 2;
  return mix_bits(request.shared_prefix ^ mix_bits(mix_bits(request.session) % copies));
}

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

void record_cached_prompt(Endpoint& endpoint, const RequestState& state) {
  const Request& request = state.request;
  const bool has_prefix = request.shared_prefix != 0;
  const int own_tokens = request.prompt_tokens - (has_prefix ? request.prefix_tokens : 0);
  std::size_t max_blocks = kDefaultMaxBlocks;
  if (endpoint.memory_tokens > 0)
    max_blocks = static_cast<std::size_t>(endpoint.memory_tokens / kBlockTokens);
  PrefixIndex& index = endpoint.prefix_index;
  if (request.session != 0)
    index.insert(session_prompt(state.session_key), request.prompt_tokens, own_tokens, max_blocks);
  if (has_prefix)
    index.insert(shared_prompt(state.affinity_key), request.prefix_tokens, request.prefix_tokens, max_blocks);
}

}  // namespace dispatcher::routing
