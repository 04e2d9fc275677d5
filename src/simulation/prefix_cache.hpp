// A replica's prefix cache: how many tokens of which prompts it need not prefill again.
#ifndef DISPATCHER_SIMULATION_PREFIX_CACHE_HPP_
#define DISPATCHER_SIMULATION_PREFIX_CACHE_HPP_

#include <cstdint>
#include <list>
#include <unordered_map>

namespace dispatcher::simulation {

// Evicts the prefix that was inserted the longest ago. Not synchronized.
class PrefixCache {
 public:
  using Key = std::uint64_t;  // of a shared prefix or a session; 0: none, which is never cached

  // The cached tokens of a prefix; 0: it is not cached.
  [[nodiscard]] int cached_tokens(Key key) const;
  // Keeps the longer one of what is cached and `tokens`. `capacity`: prefixes.
  void insert(Key key, int tokens, std::size_t capacity);
  // Forgets all prefixes, as a restart does.
  void clear();

 private:
  struct Entry {
    int tokens = 0;
    std::list<Key>::iterator position;  // in recent_
  };
  std::list<Key> recent_;  // the latest first
  std::unordered_map<Key, Entry> entries_;
};

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_PREFIX_CACHE_HPP_
