// The kinds of rows that members share. A part of the program that shares something registers its kind here;
// the core carries any kind and knows none.
#ifndef DISPATCHER_REPLICATED_STATE_ENTRY_KINDS_HPP_
#define DISPATCHER_REPLICATED_STATE_ENTRY_KINDS_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>

#include "routing/router.hpp"

namespace dispatcher::replicated_state {

using routing::Duration;
using routing::Time;
using Number = std::uint32_t;
using Bytes = std::span<const std::uint8_t>;

inline constexpr std::size_t kMaxPayload = 40;  // bytes of one row
inline constexpr std::uint32_t kMaxKind = 1000;

struct Kind {
  std::uint32_t id = 0;  // on the wire; 1 to kMostKind, never given to another kind
  std::string name;
  std::size_t max_payload = 8;
  Duration max_age = std::chrono::seconds(60);    // an older row is forgotten
  Duration half_life = std::chrono::seconds(10);  // of a row's weight, from its owner's silence on
  Duration min_between =
      std::chrono::seconds(2);  // writes of one key that come sooner wait, the last one wins
  unsigned spread = 4;          // members that each one passes a row on to
  double urgency = 1;           // the higher goes first
  bool at_once = false;         // worth a datagram to everybody, where the budget has it
  // Is this payload within the kind's bounds? Rows of others that aren't are never seen.
  std::function<bool(Bytes)> valid;
};

class Kinds {
 public:
  const Kind& add(Kind kind);  // throws std::logic_error where it is bad itself or its number is taken
  [[nodiscard]] const Kind* find(std::uint32_t id) const;

 private:
  std::map<std::uint32_t, Kind> kinds_;
};

// A key from a name, such as a replica's: 40 bits, so that it takes six bytes on the wire.
std::uint64_t key_of(std::string_view name);

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_ENTRY_KINDS_HPP_
