// A bounded index of the texts that one router has sent to one reader, as a stand-in of that one's prefix
// cache. A table, no decision: what a covered length is worth is the module's to say.
#ifndef DISPATCHER_ROUTING_PREFIX_INDEX_HPP_
#define DISPATCHER_ROUTING_PREFIX_INDEX_HPP_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <utility>

namespace dispatcher::routing {

constexpr int kBlockTokens = 16;  // lengths are counted in these

// What this router has sent to one reader: texts by key, least recently used first to go.
struct PrefixIndex {
  using Key = std::pair<bool, std::uint64_t>;  // whether it is a shared text, and Pending's slot or text
  struct Entry {
    Key key;
    int tokens;
    std::size_t blocks;
  };
  std::list<Entry> order;
  std::map<Key, std::list<Entry>::iterator> where;
  std::size_t used = 0;

  [[nodiscard]] int covered(const Key& key) const {
    const auto it = where.find(key);
    return it == where.end() ? 0 : it->second->tokens;
  }
  void learn(const Key& key, int tokens, int own_tokens, std::size_t max_blocks) {
    Entry entry{key, tokens / kBlockTokens * kBlockTokens, std::size_t(own_tokens / kBlockTokens) + 1};
    if (covered(key) > entry.tokens) entry = *where[key];  // a shorter prompt takes nothing from it
    forget(key);
    order.push_front(entry);
    where[key] = order.begin();
    used += entry.blocks;
    while (used > max_blocks && !order.empty()) forget(Key(order.back().key));
  }
  void forget(const Key& key) {
    const auto it = where.find(key);
    if (it == where.end()) return;
    used -= it->second->blocks;
    order.erase(it->second);
    where.erase(it);
  }
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_PREFIX_INDEX_HPP_
