// Detects replayed datagrams by the last 64 serial numbers of each sender's current incarnation, like IPsec's
// anti-replay window (RFC 4303, section 3.4.3). A serial number below the window counts as replayed.
#ifndef DISPATCHER_GOSSIP_REPLAY_WINDOW_HPP_
#define DISPATCHER_GOSSIP_REPLAY_WINDOW_HPP_

#include <cstdint>
#include <vector>

#include "membership/member.hpp"

namespace dispatcher::gossip {

// The replay windows of all senders. Owned by a GossipNode and used on its thread.
class ReplayWindow {
 public:
  enum class Result : std::uint8_t { kNew, kReplayed, kStaleIncarnation };
  explicit ReplayWindow(membership::MemberIndex count) : windows_(count) {}

  // Records a datagram unless its incarnation is stale. Returns whether it is new, replayed or stale.
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
  static constexpr std::uint32_t kWindowBits = 64;  // width of seen_mask
  struct Window {
    std::uint64_t incarnation = 0;
    std::uint32_t max_serial = 0;
    std::uint64_t seen_mask = 0;  // bit b is set if serial number max_serial - b was received
  };
  std::vector<Window> windows_;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_REPLAY_WINDOW_HPP_
