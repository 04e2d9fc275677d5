// Limits the bytes that a member sends to all receivers together: a token bucket. Answers to probes may
// overdraw it up to a bound; messages that can wait check available() first. No I/O; the clock is passed in.
#ifndef DISPATCHER_GOSSIP_BYTE_BUDGET_HPP_
#define DISPATCHER_GOSSIP_BYTE_BUDGET_HPP_

#include <algorithm>
#include <cstdint>

#include "membership/member.hpp"

namespace dispatcher::gossip {

using membership::Duration;
using membership::Time;

// The token bucket of one member. Part of a GossipNode; used on its thread.
class ByteBudget {
 public:
  // Within any time t at most rate * t + burst + debt bytes are sent; `rate` is in bytes a second, the others
  // in bytes. It starts full.
  ByteBudget(std::int64_t rate, std::int64_t burst, std::int64_t debt, Time now)
      : rate_(rate),
        burst_(burst * kMicrosPerByte),
        debt_(debt * kMicrosPerByte),
        level_(burst * kMicrosPerByte),
        refilled_at_(now) {}

  // Bytes that may be sent now; negative while in debt.
  [[nodiscard]] std::int64_t available(Time now) {
    refill(now);
    return level_ / kMicrosPerByte;
  }

  // Spends the bytes, as debt where necessary. False, and nothing is spent, where the debt would exceed its
  // bound.
  [[nodiscard]] bool try_spend(Time now, std::int64_t bytes) {
    refill(now);
    if (level_ - bytes * kMicrosPerByte < -debt_) return false;
    level_ -= bytes * kMicrosPerByte;
    return true;
  }

 private:
  // A byte a second accrues one millionth of a byte a microsecond.
  static constexpr std::int64_t kMicrosPerByte = 1'000'000;
  static constexpr Duration kMaxElapsed = std::chrono::hours(1);  // keeps the product within 64 bits

  void refill(Time now) {
    const Duration elapsed = std::min<Duration>(now - refilled_at_, kMaxElapsed);
    if (elapsed <= Duration::zero()) return;
    level_ = std::min(burst_, level_ + elapsed.count() * rate_);
    refilled_at_ = now;
  }

  std::int64_t rate_;   // bytes a second, which is millionths of a byte a microsecond
  std::int64_t burst_;  // this and the next two in millionths of a byte
  std::int64_t debt_;
  std::int64_t level_;
  Time refilled_at_;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_BYTE_BUDGET_HPP_
