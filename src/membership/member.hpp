// The values that members of a fleet exchange about one another. The members' indexes and their count come
// from the settings, so that the set is fixed; only their states and incarnations change.
#ifndef DISPATCHER_MEMBERSHIP_MEMBER_HPP_
#define DISPATCHER_MEMBERSHIP_MEMBER_HPP_

#include <boost/random/taus88.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <tuple>

#include "routing/settings.hpp"

namespace dispatcher::membership {

using routing::Duration;
using routing::Time;                   // of this process's own steady clock
using MemberIndex = std::uint32_t;     // a dispatcher's in its fleet, from 0
using Random = boost::random::taus88;  // small and reproducible; seeded by the owner

// Orders updates about one member. `incarnation` is when its process started, in ms since the Unix epoch
// by its own clock. It is compared with other incarnations of the same member only, so that skew between
// hosts does not matter; where a host's clock was set back, the member receives an update with its later
// incarnation and takes the next one. `refutations` counts the suspicions that this process has refuted;
// SWIM's incarnation number is both together.
struct MemberVersion {
  std::uint64_t incarnation = 0;  // 0: unknown
  std::uint32_t refutations = 0;
  auto operator<=>(const MemberVersion&) const = default;
};
inline constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 42U;  // the year 2109
inline constexpr std::uint32_t kMaxRefutations = std::uint32_t{1} << 28U;  // four bytes on the wire

// In the order of precedence. kUnknown: nothing has been received about the member.
enum class MemberState : std::uint8_t { kUnknown, kAlive, kSuspect, kDead };

// A member's view of another member. Of two updates the one with the higher version wins, and within one
// version the one with the higher state: merging takes the maximum, so that order, loss and repetition do not
// matter.
struct MemberUpdate {
  MemberIndex member = 0;
  MemberVersion version;
  MemberState state = MemberState::kUnknown;
  MemberIndex accuser = 0;  // kSuspect: who suspects the member
  // Orders updates about one member.
  [[nodiscard]] auto precedence() const { return std::tuple(version, state); }
  bool operator==(const MemberUpdate&) const = default;
};

// One message of SWIM's failure detector. Times are measured by its sender alone, so none is in it.
struct Probe {
  // kPingRequest requests an indirect probe from a helper. kNack: the helper was reached, but its target has
  // not answered it yet (Lifeguard).
  enum class Type : std::uint8_t { kPing, kPingRequest, kAck, kNack };
  Type type{};
  std::uint32_t sequence = 0;  // the prober's; an answer repeats it
  MemberIndex target = 0;      // kPingRequest only

  [[nodiscard]] static Probe ping(std::uint32_t sequence) { return {Type::kPing, sequence, 0}; }
  [[nodiscard]] static Probe ping_request(std::uint32_t sequence, MemberIndex target) {
    return {Type::kPingRequest, sequence, target};
  }
  [[nodiscard]] static Probe ack(std::uint32_t sequence) { return {Type::kAck, sequence, 0}; }
  [[nodiscard]] static Probe nack(std::uint32_t sequence) { return {Type::kNack, sequence, 0}; }
  bool operator==(const Probe&) const = default;
};

// A message to send. GossipNode adds this member's version and updates about others.
struct OutgoingMessage {
  MemberIndex to = 0;
  std::optional<Probe> probe;  // none: only the updates
};

// A member's state or incarnation has changed in this process's view.
struct MemberChange {
  MemberIndex member = 0;
  MemberState before{};
  MemberState after{};
  bool is_new_incarnation = false;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_MEMBER_HPP_
