// A bounded index of the prompts that this router has sent to one reader: an estimate of the reader's prefix
// cache. Support: no choice.
#ifndef DISPATCHER_ROUTING_PREFIX_INDEX_HPP_
#define DISPATCHER_ROUTING_PREFIX_INDEX_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>

namespace dispatcher::routing {

constexpr int kBlockTokens =
    16;  // tokens of a cache block: caches store complete blocks only (vLLM's default size)

// What a cached prompt is found by.
enum class PrefixKind { kSession, kShared };

// The key of a cached prompt: the request's session key, or its affinity key for a shared prefix.
struct PrefixKey {
  PrefixKind kind{};
  std::uint64_t key = 0;
  auto operator<=>(const PrefixKey&) const = default;
};

// The key of the prompts of a session: see prefix_affinity.hpp.
[[nodiscard]] inline PrefixKey session_prompt(std::uint64_t session_key) {
  return {PrefixKind::kSession, session_key};
}

// The key of a shared prefix.
[[nodiscard]] inline PrefixKey shared_prompt(std::uint64_t affinity_key) {
  return {PrefixKind::kShared, affinity_key};
}

// Prompts by key, least recently used evicted first.
class PrefixIndex {
 public:
  // Cached tokens for this key; 0: none.
  [[nodiscard]] int cached_tokens(const PrefixKey& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? 0 : it->second->tokens;
  }

  // Adds a prompt, or makes it the most recent. `own_tokens`: those that no other key accounts for, which
  // occupy blocks. A prompt shorter than the known one does not shorten it. Evicts prompts while there are
  // more than `max_blocks` blocks.
  void insert(const PrefixKey& key, int tokens, int own_tokens, std::size_t max_blocks) {
    Entry entry{key, tokens / kBlockTokens * kBlockTokens, std::size_t(own_tokens / kBlockTokens) + 1};
    if (cached_tokens(key) > entry.tokens) entry = *entries_[key];
    erase(key);
    recency_.push_front(entry);
    entries_[key] = recency_.begin();
    used_blocks_ += entry.blocks;
    while (used_blocks_ > max_blocks && !recency_.empty()) erase(PrefixKey(recency_.back().key));
  }

  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    PrefixKey key;
    int tokens;
    std::size_t blocks;
  };

  void erase(const PrefixKey& key) {
    const auto it = entries_.find(key);
    if (it == entries_.end()) return;
    used_blocks_ -= it->second->blocks;
    recency_.erase(it->second);
    entries_.erase(it);
  }

  std::list<Entry> recency_;  // most recent first
  std::map<PrefixKey, std::list<Entry>::iterator> entries_;
  std::size_t used_blocks_ = 0;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_PREFIX_INDEX_HPP_
