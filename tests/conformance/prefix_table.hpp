// The prefixes that one reader should have cached by the design's page: those that were sent to it, the least
// recently used evicted first.
#ifndef DISPATCHER_TESTS_CONFORMANCE_PREFIX_TABLE_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_PREFIX_TABLE_HPP_

#include <cstddef>
#include <cstdint>
#include <list>

namespace dispatcher::routing::conformance {

// Tokens are cached in blocks.
constexpr int kBlockTokens = 16;

class PrefixTable {
 public:
  // A prefix: a session's texts follow its shared beginning.
  struct Key {
    std::uint64_t shared_prefix, session;  // zero: none
    friend bool operator==(const Key&, const Key&) = default;
  };

  // Zero if nothing is cached.
  [[nodiscard]] int tokens(const Key& key) const;
  // `own_tokens`: those that the key does not share with another. Evicts what exceeds `max_blocks`.
  void record(const Key& key, int tokens, int own_tokens, std::size_t max_blocks);

 private:
  struct Entry {
    Key key;
    int tokens;
    std::size_t blocks;
  };
  [[nodiscard]] std::size_t used_blocks() const;

  std::list<Entry> entries_;  // last used first
};

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_PREFIX_TABLE_HPP_
