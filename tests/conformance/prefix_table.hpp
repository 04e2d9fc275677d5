// The prefixes that one reader should have cached according to the design page: those that were sent to it.
// The least recently used one is evicted first.
#ifndef DISPATCHER_TESTS_CONFORMANCE_PREFIX_TABLE_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_PREFIX_TABLE_HPP_

#include <cstddef>
#include <cstdint>
#include <list>

namespace dispatcher::routing::conformance {

// Tokens are cached in blocks of this many.
constexpr int kBlockTokens = 16;

// The cached prefixes of one reader.
class PrefixTable {
 public:
  // Identifies a prefix. The texts of a session follow its shared prefix.
  struct Key {
    std::uint64_t shared_prefix, session;  // zero: none
    friend bool operator==(const Key&, const Key&) = default;
  };

  // Returns the number of cached tokens of a prefix; zero if nothing is cached.
  [[nodiscard]] int tokens(const Key& key) const;
  // Records that a prefix was sent. `own_tokens` is the number of its tokens that no other key shares. Evicts
  // prefixes while all of them together exceed `max_blocks`.
  void record(const Key& key, int tokens, int own_tokens, std::size_t max_blocks);

 private:
  struct Entry {
    Key key;
    int tokens;
    std::size_t blocks;
  };
  [[nodiscard]] std::size_t used_blocks() const;

  std::list<Entry> entries_;  // most recently used first
};

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_PREFIX_TABLE_HPP_
