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
using routing::Time;                   // measured on this process's own steady clock
using MemberIndex = std::uint32_t;     // the index of a dispatcher in its fleet, from 0
using Random = boost::random::taus88;  // small and reproducible; seeded by the owner

// Orders updates about one member. `incarnation` is the time at which the member's process started, in ms
// since the Unix epoch by its own clock. It is compared only with other incarnations of the same member, so
// skew between hosts does not matter. If a host's clock was set back before a restart, the new process
// receives an update with the higher incarnation of the earlier process and continues with the next higher
// number. `refutations` counts the suspicions that the process has refuted. Both fields together correspond
// to SWIM's incarnation number.
struct MemberVersion {
  std::uint64_t incarnation = 0;  // 0 if unknown
  std::uint32_t refutations = 0;
  auto operator<=>(const MemberVersion&) const = default;
};
inline constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 42U;  // reached in the year 2109
inline constexpr std::uint32_t kMaxRefutations = std::uint32_t{1} << 28U;  // four bytes on the wire

// The states, in ascending order of precedence. kUnknown means that nothing has been received about the
// member.
enum class MemberState : std::uint8_t { kUnknown, kAlive, kSuspect, kDead };

// A member's view of another member. The update with the higher version wins, and among updates of the same
// version the one with the higher state. Merging takes the maximum, so the order, loss and repetition of
// updates do not matter.
struct MemberUpdate {
  MemberIndex member = 0;
  MemberVersion version;
  MemberState state = MemberState::kUnknown;
  MemberIndex accuser = 0;  // the member that suspects it; set for kSuspect only
  // Returns the key by which updates about one member are ordered.
  [[nodiscard]] auto precedence() const { return std::tuple(version, state); }
  bool operator==(const MemberUpdate&) const = default;
};

// One message of SWIM's failure detector. It carries no times, because only the sender measures them.
struct Probe {
  // kPingRequest asks a helper for an indirect probe. kNack (from Lifeguard) confirms that the helper was
  // reached although the target has not answered it yet.
  enum class Type : std::uint8_t { kPing, kPingRequest, kAck, kNack };
  Type type{};
  std::uint32_t sequence = 0;  // assigned by the prober, and repeated in the answer
  MemberIndex target = 0;      // the member to ping; set for kPingRequest only

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
  std::optional<Probe> probe;  // nullopt if the message carries updates only
};

// A change of a member's state or incarnation in this process's view.
struct MemberChange {
  MemberIndex member = 0;
  MemberState before{};
  MemberState after{};
  bool is_new_incarnation = false;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_MEMBER_HPP_
