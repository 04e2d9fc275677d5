// The kinds of entries that members replicate. A package that replicates something registers its kind here;
// ReplicatedMap carries any kind and interprets none.
#ifndef DISPATCHER_REPLICATED_STATE_ENTRY_KINDS_HPP_
#define DISPATCHER_REPLICATED_STATE_ENTRY_KINDS_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "routing/router.hpp"

namespace dispatcher::replicated_state {

using routing::Duration;
using routing::Time;
using MemberIndex = std::uint32_t;  // a dispatcher's in its fleet, from 0
using ByteView = std::span<const std::uint8_t>;

inline constexpr std::size_t kMaxPayloadBytes = 40;  // several entries fit one datagram
inline constexpr std::uint32_t kMaxKindId = 1000;    // two bytes on the wire

// How entries of one kind are bounded and spread.
struct EntryKind {
  std::uint32_t id = 0;  // on the wire; 1 to kMaxKindId, never reused for another kind
  std::string name;      // for error messages
  std::size_t max_payload_bytes = 8;
  Duration max_age = std::chrono::seconds(60);            // an older entry is dropped
  Duration half_life = std::chrono::seconds(10);          // of an entry's weight once its owner is silent
  Duration min_write_interval = std::chrono::seconds(2);  // earlier writes of a key wait; the last one wins
  unsigned max_transmissions = 4;                         // by each member that accepted the entry
  double priority = 1;                                    // the higher goes first
  bool is_broadcast = false;               // worth a datagram to all members, where the byte budget allows it
  std::function<bool(ByteView)> is_valid;  // checks a payload; others are rejected
};

// A registry of kinds. Filled at start-up, before any ReplicatedMap uses it, and constant from then on.
class EntryKinds {
 public:
  // Throws std::logic_error where the kind's bounds are bad or its id is taken.
  const EntryKind& add(EntryKind kind);
  // Null where no kind has this id.
  [[nodiscard]] const EntryKind* find(std::uint32_t id) const;

 private:
  std::map<std::uint32_t, EntryKind> kinds_;
};

// An entry's id from a name, such as an endpoint's: 40 bits of its hash, six bytes on the wire.
[[nodiscard]] std::uint64_t entry_id(std::string_view name);

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_ENTRY_KINDS_HPP_
