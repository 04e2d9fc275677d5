// The kinds of entries that members replicate. A package that replicates something registers its kind here;
// ReplicatedMap carries any kind and interprets none.
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
using MemberIndex = std::uint32_t;  // a dispatcher's in its fleet, from 0
using ByteView = std::span<const std::uint8_t>;

inline constexpr std::size_t kMaxPayloadBytes = 40;  // several entries fit one datagram
inline constexpr std::uint32_t kMaxKindId = 1000;    // two bytes on the wire

// How entries of one kind are bounded and spread.
struct EntryKind {
  std::uint32_t id = 0;  // on the wire; 1 to kMaxKindId, never reused for another kind
  std::string name;      // for error messages
  std::size_t max_payload_bytes = 8;
  Duration max_age = std::chrono::seconds(60);    // an older entry is dropped
  Duration half_life = std::chrono::seconds(10);  // of an entry's weight once its owner is silent
  Duration min_write_interval =
      std::chrono::seconds(2);             // earlier writes of a key are deferred; the last wins
  unsigned max_transmissions = 4;          // by each member that accepted the entry
  double priority = 1;                     // higher values are sent first
  bool is_broadcast = false;               // sent to all members at once, where the byte budget allows it
  std::function<bool(ByteView)> is_valid;  // checks a payload; others are rejected
};

// Why a kind can't be registered.
enum class EntryKindErrorCode : std::uint8_t {
  kInvalidId,       // not from 1 to kMaxKindId
  kPayloadTooLong,  // max_payload_bytes above kMaxPayloadBytes
  kNoValidator,     // is_valid is empty
  kInvalidSpread,   // max_age, half_life or max_transmissions not positive
  kIdTaken,
};

// A kind that was not registered, and why.
struct EntryKindProblem {
  EntryKindErrorCode code{};
  std::uint32_t id = 0;
  std::string name;
  std::string registered_name;  // kIdTaken: of the kind that has this id
};
[[nodiscard]] std::string to_text(const EntryKindProblem& problem);  // one line

// A programming error that is detected at start-up; what() is the problem's text.
struct EntryKindError : std::logic_error {
  explicit EntryKindError(const EntryKindProblem& cause) : std::logic_error(to_text(cause)), problem(cause) {}
  EntryKindProblem problem;
};

// A registry of kinds. Filled at start-up, before any ReplicatedMap uses it, and constant from then on.
class EntryKinds {
 public:
  // Throws EntryKindError where the kind's bounds are invalid or its id is taken.
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
