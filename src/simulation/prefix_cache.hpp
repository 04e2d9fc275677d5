// A replica's prefix cache: the number of tokens of each cached prefix, which need no prefill.
#ifndef DISPATCHER_SIMULATION_PREFIX_CACHE_HPP_
#define DISPATCHER_SIMULATION_PREFIX_CACHE_HPP_

#include <cstdint>
#include <list>
#include <unordered_map>

namespace dispatcher::simulation {

// Evicts the least recently inserted prefix. Not thread-safe.
class PrefixCache {
 public:
  using Key = std::uint64_t;  // of a shared prefix or a session; 0: none, which is never cached

  // The cached tokens of a prefix; 0: it is not cached.
  [[nodiscard]] int cached_tokens(Key key) const;
  // Caches `tokens` of a prefix, unless more are cached already. `capacity`: the maximum number of prefixes.
  void insert(Key key, int tokens, std::size_t capacity);
  // Evicts all prefixes, as a restart does.
  void clear();

 private:
  struct Entry {
    int tokens = 0;
    std::list<Key>::iterator position;  // in recent_
  };
  std::list<Key> recent_;  // the most recently inserted first
  std::unordered_map<Key, Entry> entries_;
};

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_PREFIX_CACHE_HPP_
