// Which datagrams of each sender have been seen: of its present life, the last 64 serial numbers. A repeated
// one is known, and one from before that counts as repeated.
#ifndef DISPATCHER_GOSSIP_REPLAY_WINDOW_HPP_
#define DISPATCHER_GOSSIP_REPLAY_WINDOW_HPP_

#include <cstdint>
#include <vector>

#include "membership/member.hpp"

namespace dispatcher::gossip {

class ReplayWindow {
 public:
  enum class Seen { kNew, kBefore, kOldLife };
  explicit ReplayWindow(membership::Number count) : senders_(count) {}

  Seen see(membership::Number from, std::uint64_t life, std::uint32_t serial) {
    Window& w = senders_[from];
    if (life < w.life) return Seen::kOldLife;
    if (life > w.life)
      w = {life, serial, 1};
    else if (serial > w.top) {
      const std::uint32_t step = serial - w.top;
      w.mask = (step < 64 ? w.mask << step : 0) | 1U;
      w.top = serial;
    } else {
      const std::uint32_t back = w.top - serial;
      if (back >= 64 || (w.mask >> back & 1U) != 0) return Seen::kBefore;
      w.mask |= std::uint64_t{1} << back;
    }
    return Seen::kNew;
  }

 private:
  struct Window {
    std::uint64_t life = 0;
    std::uint32_t top = 0;
    std::uint64_t mask = 0;  // bit b: top - b was seen
  };
  std::vector<Window> senders_;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_REPLAY_WINDOW_HPP_
