// How many bytes a member may send, over the fleet: a token bucket. What answers a probe may run it into
// debt, up to a bound; what can wait finds out how much room there is.
#ifndef DISPATCHER_GOSSIP_BYTE_BUDGET_HPP_
#define DISPATCHER_GOSSIP_BYTE_BUDGET_HPP_

#include <algorithm>
#include <cstdint>

#include "membership/member.hpp"

namespace dispatcher::gossip {

using membership::Duration;
using membership::Time;

class ByteBudget {
 public:
  // In any time t at most rate x t + burst + debt bytes are sent.
  ByteBudget(std::int64_t rate, std::int64_t burst, std::int64_t debt, Time now)
      : rate_(rate), burst_(burst * kMicro), debt_(debt * kMicro), level_(burst * kMicro), at_(now) {}

  std::int64_t left(Time now) {  // bytes; below zero in debt
    const Duration passed = std::min<Duration>(now - at_, std::chrono::hours(1));
    if (passed > Duration::zero()) {
      level_ = std::min(burst_, level_ + passed.count() * rate_);
      at_ = now;
    }
    return level_ / kMicro;
  }
  bool spend(Time now, std::int64_t bytes) {  // false: not even as debt
    left(now);
    if (level_ - bytes * kMicro < -debt_) return false;
    level_ -= bytes * kMicro;
    return true;
  }

 private:
  static constexpr std::int64_t kMicro = 1'000'000;  // levels count millionths of a byte
  std::int64_t rate_, burst_, debt_, level_;
  Time at_;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_BYTE_BUDGET_HPP_
