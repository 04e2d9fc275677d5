// The keys of the replicated map's entries, and the form in which entries are sent. Plain values.
#ifndef DISPATCHER_REPLICATED_STATE_ENTRY_HPP_
#define DISPATCHER_REPLICATED_STATE_ENTRY_HPP_

#include <boost/container/static_vector.hpp>
#include <compare>
#include <cstdint>

#include "replicated_state/entry_kinds.hpp"

namespace dispatcher::replicated_state {

using Payload = boost::container::static_vector<std::uint8_t, kMaxPayloadBytes>;

// Identifies an entry. Each owner has its own entry for a kind and an id.
struct EntryKey {
  std::uint32_t kind = 0;
  std::uint64_t id = 0;
  MemberIndex owner = 0;
  auto operator<=>(const EntryKey&) const = default;
};

// An entry as it is sent.
struct Entry {
  EntryKey key;
  std::uint64_t incarnation = 0;  // the owner's incarnation when it wrote the entry
  std::uint64_t version = 0;      // from 1 to kMaxVersion; counts the writes of the owner's incarnation
  bool is_tombstone = false;      // true if the owner has erased the entry
  Duration age{};                 // time since the owner wrote the entry, as estimated by the sender
  Payload payload;
};
// An entry with a higher version is invalid. No writer counts this far.
inline constexpr std::uint64_t kMaxVersion = std::uint64_t{1} << 48U;

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_ENTRY_HPP_
