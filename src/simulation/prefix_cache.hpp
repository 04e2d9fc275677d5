// The prefix cache of an endpoint. Stores the number of cached tokens of each prefix; these need no prefill.
#ifndef DISPATCHER_SIMULATION_PREFIX_CACHE_HPP_
#define DISPATCHER_SIMULATION_PREFIX_CACHE_HPP_

#include <cstdint>
#include <list>
#include <unordered_map>

namespace dispatcher::simulation {

// A cache that evicts the least recently inserted prefix when it is full. Not thread-safe.
class PrefixCache {
 public:
  using Key = std::uint64_t;  // identifies a shared prefix or a session; 0 means none and is never cached

  // Returns the number of cached tokens of a prefix; 0 if it is not cached.
  [[nodiscard]] int cached_tokens(Key key) const;
  // Caches `tokens` tokens of a prefix, unless more are cached already. `capacity` is the maximum number of
  // prefixes.
  void insert(Key key, int tokens, std::size_t capacity);
  // Evicts all prefixes, as a restart does.
  void clear();

 private:
  struct Entry {
    int tokens = 0;
    std::list<Key>::iterator position;  // in recent_
  };
  std::list<Key> recent_;  // starts with the most recently inserted prefix
  std::unordered_map<Key, Entry> entries_;
};

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_PREFIX_CACHE_HPP_
