// Detects replayed datagrams by the last 64 serial numbers of each sender's current incarnation, as IPsec's
// anti-replay window does (RFC 4303, section 3.4.3). An older one counts as replayed.
#ifndef DISPATCHER_GOSSIP_REPLAY_WINDOW_HPP_
#define DISPATCHER_GOSSIP_REPLAY_WINDOW_HPP_

#include <cstdint>
#include <vector>

#include "membership/member.hpp"

namespace dispatcher::gossip {

// The windows of all senders. Part of a GossipNode; used on its thread.
class ReplayWindow {
 public:
  enum class Result : std::uint8_t { kNew, kReplayed, kStaleIncarnation };
  explicit ReplayWindow(membership::MemberIndex count) : windows_(count) {}

  // Records a datagram, and returns whether it is a new one.
  [[nodiscard]] Result check(membership::MemberIndex from, std::uint64_t incarnation, std::uint32_t serial) {
    Window& window = windows_[from];
    if (incarnation < window.incarnation) return Result::kStaleIncarnation;
    if (incarnation > window.incarnation) {
      window = {incarnation, serial, 1};
      return Result::kNew;
    }
    if (serial > window.max_serial) {
      const std::uint32_t step = serial - window.max_serial;
      window.seen_mask = (step < kWindowBits ? window.seen_mask << step : 0) | 1U;
      window.max_serial = serial;
      return Result::kNew;
    }
    const std::uint32_t age = window.max_serial - serial;
    if (age >= kWindowBits || (window.seen_mask >> age & 1U) != 0) return Result::kReplayed;
    window.seen_mask |= std::uint64_t{1} << age;
    return Result::kNew;
  }

 private:
  static constexpr std::uint32_t kWindowBits = 64;  // of the mask
  struct Window {
    std::uint64_t incarnation = 0;
    std::uint32_t max_serial = 0;
    std::uint64_t seen_mask = 0;  // bit b: max_serial - b was seen
  };
  std::vector<Window> windows_;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_REPLAY_WINDOW_HPP_
