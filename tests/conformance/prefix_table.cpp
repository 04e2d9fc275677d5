#include "prefix_table.hpp"

#include <algorithm>
#include <numeric>

namespace dispatcher::routing::conformance {

int PrefixTable::tokens(const Key& key) const {
  const auto entry = std::ranges::find(entries_, key, &Entry::key);
  return entry == entries_.end() ? 0 : entry->tokens;
}

void PrefixTable::record(const Key& key, int tokens, int own_tokens, std::size_t max_blocks) {
  Entry recorded{key, tokens / kBlockTokens * kBlockTokens,
                 static_cast<std::size_t>(own_tokens / kBlockTokens)};
  for (const Entry& entry : entries_) {
    if (entry.key == key && entry.tokens > recorded.tokens) recorded = entry;  // the longer prefix stays
  }
  std::erase_if(entries_, [&key](const Entry& entry) { return entry.key == key; });
  entries_.push_front(recorded);
  while (used_blocks() > max_blocks) entries_.pop_back();
}

std::size_t PrefixTable::used_blocks() const {
  return std::accumulate(entries_.begin(), entries_.end(), std::size_t{0},
                         [](std::size_t sum, const Entry& entry) { return sum + entry.blocks; });
}

}  // namespace dispatcher::routing::conformance
