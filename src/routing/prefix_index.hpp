// A bounded index of the prompts that this router has sent to one reader: an estimate of the reader's prefix
// cache. Makes no decisions.
#ifndef DISPATCHER_ROUTING_PREFIX_INDEX_HPP_
#define DISPATCHER_ROUTING_PREFIX_INDEX_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>

namespace dispatcher::routing {

// Number of tokens in a cache block. Caches store complete blocks only. The value is vLLM's default.
constexpr int kBlockTokens = 16;

// The kinds of keys by which cached prompts are found.
enum class PrefixKind { kSession, kShared };

// The key of a cached prompt: the request's session key, or its affinity key for a shared prefix.
struct PrefixKey {
  PrefixKind kind{};
  std::uint64_t key = 0;
  auto operator<=>(const PrefixKey&) const = default;
};

// Returns the key of a session's prompts; for `session_key` see session_key() in cached_prompts.hpp.
[[nodiscard]] inline PrefixKey session_prompt(std::uint64_t session_key) {
  return {PrefixKind::kSession, session_key};
}

// Returns the key of a shared prefix; for `affinity_key` see PrefixAffinity::affinity_key().
[[nodiscard]] inline PrefixKey shared_prompt(std::uint64_t affinity_key) {
  return {PrefixKind::kShared, affinity_key};
}

// Prompts by key. The least recently used prompt is evicted first.
class PrefixIndex {
 public:
  // Returns the number of cached tokens for this key, 0 if there are none.
  [[nodiscard]] int cached_tokens(const PrefixKey& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? 0 : it->second->tokens;
  }

  // Adds a prompt, or makes it the most recently used one. `own_tokens` is the number of tokens that no other
  // key accounts for and which therefore occupy blocks. A prompt that is shorter than the known one does not
  // shorten it. Evicts prompts while more than `max_blocks` blocks are used.
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
