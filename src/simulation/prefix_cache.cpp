#include "simulation/prefix_cache.hpp"

#include <algorithm>

namespace dispatcher::simulation {

int PrefixCache::cached_tokens(Key key) const {
  const auto it = key == 0 ? entries_.end() : entries_.find(key);
  return it == entries_.end() ? 0 : it->second.tokens;
}

void PrefixCache::insert(Key key, int tokens, std::size_t capacity) {
  if (key == 0 || capacity == 0) return;
  const int longest = std::max(tokens, cached_tokens(key));
  const auto existing = entries_.find(key);
  if (existing != entries_.end()) recent_.erase(existing->second.position);
  recent_.push_front(key);
  entries_[key] = {longest, recent_.begin()};
  if (entries_.size() <= capacity) return;
  entries_.erase(recent_.back());
  recent_.pop_back();
}

void PrefixCache::clear() {
  entries_.clear();
  recent_.clear();
}

}  // namespace dispatcher::simulation
