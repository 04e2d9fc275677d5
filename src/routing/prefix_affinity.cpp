#include "routing/prefix_affinity.hpp"

#include <algorithm>

#include "routing/hashing.hpp"

namespace dispatcher::routing {
namespace {

constexpr std::size_t kDefaultMaxBlocks = 31250;  // 500,000 tokens, for a cache of unknown size
constexpr std::uint64_t kMinCopies = 2;   // least number of keys of a shared prefix, as one reader may fail
constexpr std::uint64_t kMaxCopies = 64;  // more keys would evict other prompts from the caches
constexpr double kCopiesPerReaderShare = 4;  // a prefix of half of all requests gets two keys per reader
constexpr double kPopularityWindow = 64;     // number of requests after which all counts are halved
constexpr double kMinPopularity = 0.5;       // smaller counts are erased

}  // namespace

// All counts are reduced by a discount, which is computed from the numbers of prefixes seen once and twice
// (absolute discounting: Ney, Essen, Kneser, "On structuring probabilistic dependences in stochastic language
// modelling", 1994). If most prefixes are rare, a single request is no sign of popularity, and copies of rare
// prefixes would evict everything else from the caches. Halving turns counts into fractions, so "once" and
// "twice" are intervals.
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

// A shared prefix has several keys, and the more popular it is, the more keys it has. Each session uses one
// of them. As a result, routers that share no state send a session and its prefix to the same reader, and a
// popular prefix is cached by enough readers. Requests with neither session nor prefix are spread by a hash
// of their id and the router's number.
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

std::size_t max_cached_blocks(const Endpoint& endpoint) {
  if (endpoint.memory_tokens <= 0) return kDefaultMaxBlocks;
  return static_cast<std::size_t>(endpoint.memory_tokens / kBlockTokens);
}

}  // namespace dispatcher::routing
