// The kinds of entries that members replicate. A package that replicates values registers their kind here.
// ReplicatedMap replicates entries of any kind without interpreting them.
#ifndef DISPATCHER_REPLICATED_STATE_ENTRY_KINDS_HPP_
#define DISPATCHER_REPLICATED_STATE_ENTRY_KINDS_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

#include "routing/settings.hpp"

namespace dispatcher::replicated_state {

using routing::Duration;
using routing::Time;
using MemberIndex = std::uint32_t;  // the index of a dispatcher in its fleet, from 0
using ByteView = std::span<const std::uint8_t>;

inline constexpr std::size_t kMaxPayloadBytes = 40;  // small enough for several entries in one datagram
inline constexpr std::uint32_t kMaxKindId = 1000;    // takes two bytes on the wire

// Describes one kind of entry: its bounds, and how its entries are disseminated.
struct EntryKind {
  std::uint32_t id = 0;  // sent on the wire; from 1 to kMaxKindId, and never reused for another kind
  std::string name;      // used in error messages
  std::size_t max_payload_bytes = 8;
  Duration max_age = std::chrono::seconds(60);    // older entries are dropped
  Duration half_life = std::chrono::seconds(10);  // of an entry's weight while its owner is silent
  // A write within this time after the key's last write is deferred. Of several deferred writes, only the
  // last one is made.
  Duration min_write_interval = std::chrono::seconds(2);
  unsigned max_transmissions = 4;          // by each member that accepted the entry
  double priority = 1;                     // entries of a higher priority are sent first
  bool is_broadcast = false;               // sent to all members at once if the byte budget allows it
  std::function<bool(ByteView)> is_valid;  // returns whether a payload is valid; invalid ones are rejected
};

// Why a kind cannot be registered.
enum class EntryKindErrorCode : std::uint8_t {
  kInvalidId,       // the id is not from 1 to kMaxKindId
  kPayloadTooLong,  // max_payload_bytes is above kMaxPayloadBytes
  kNoValidator,     // is_valid is empty
  kInvalidSpread,   // max_age, half_life or max_transmissions is not positive
  kIdTaken,         // another kind has the id
};

// Describes a kind that was not registered, and the reason.
struct EntryKindProblem {
  EntryKindErrorCode code{};
  std::uint32_t id = 0;
  std::string name;
  std::string registered_name;  // for kIdTaken, the name of the kind that has this id
};
// Returns a description of the problem in one line.
[[nodiscard]] std::string to_text(const EntryKindProblem& problem);

// Thrown for a programming error that is detected at start-up. what() returns the problem's text.
struct EntryKindError : std::logic_error {
  explicit EntryKindError(const EntryKindProblem& cause) : std::logic_error(to_text(cause)), problem(cause) {}
  EntryKindProblem problem;
};

// A registry of kinds. Filled at start-up, before any ReplicatedMap uses it, and constant from then on.
class EntryKinds {
 public:
  // Registers the kind. Throws EntryKindError if its bounds are invalid or its id is taken.
  const EntryKind& add(EntryKind kind);
  // Returns the kind with this id, or null if there is none.
  [[nodiscard]] const EntryKind* find(std::uint32_t id) const;

 private:
  std::map<std::uint32_t, EntryKind> kinds_;
};

// Derives an entry's id from a name, such as an endpoint's. The id is 40 bits of the name's hash, which take
// six bytes on the wire.
[[nodiscard]] std::uint64_t entry_id(std::string_view name);

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_ENTRY_KINDS_HPP_
