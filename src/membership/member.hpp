// What members of a fleet say of one another. Numbers and their count come from the settings, so nobody joins
// or leaves the set; what changes is who is alive, and in which of its lives.
#ifndef DISPATCHER_MEMBERSHIP_MEMBER_HPP_
#define DISPATCHER_MEMBERSHIP_MEMBER_HPP_

#include <boost/random/taus88.hpp>
#include <compare>
#include <cstdint>
#include <tuple>

#include "routing/router.hpp"

namespace dispatcher::membership {

using routing::Duration;
using routing::Time;                   // of this process's own steady clock
using Number = std::uint32_t;          // a dispatcher's, from 0
using Random = boost::random::taus88;  // small and reproducible; seeded by whoever owns the machine

// `life` is when the process started, in milliseconds since the Unix epoch by its own clock. It is compared
// with other lives of the same member only, so that skew between hosts does not matter; where a host's clock
// was set back, the member is told of its later life and takes the next one. `refuted` counts the suspicions
// that this process has answered.
struct Incarnation {
  std::uint64_t life = 0;  // 0: never heard of
  std::uint32_t refuted = 0;
  auto operator<=>(const Incarnation&) const = default;
};
inline constexpr std::uint64_t kMaxLife = std::uint64_t{1} << 42U;  // the year 2109
inline constexpr std::uint32_t kMaxRefuted = std::uint32_t{1} << 28U;

enum class MemberState : std::uint8_t { kUnknown, kAlive, kSuspect, kDead };  // in the order of precedence

// Of two claims about a member the one with the higher incarnation holds, and of one incarnation the one with
// the graver standing: merging takes the greater, so that order, loss and repetition do not matter.
struct MemberUpdate {
  Number about = 0;
  Incarnation incarnation;
  MemberState standing = MemberState::kUnknown;
  Number by = 0;  // of a suspicion: who holds it
  [[nodiscard]] auto rank() const { return std::tuple(incarnation, standing); }
  bool operator==(const MemberUpdate&) const = default;
};

struct Probe {
  // kNack: the helper was reached, its target has not answered it yet.
  enum class Type : std::uint8_t { kPing, kAskToPing, kAck, kNack };
  Type type{};
  std::uint32_t sequence = 0;  // the prober's; an answer repeats it
  Number target = 0;           // kAskToPing only
  bool operator==(const Probe&) const = default;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_MEMBER_HPP_
