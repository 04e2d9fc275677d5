// A token bucket that limits the bytes a member sends to all receivers together. Answers to probes may
// overdraw it up to a bound; messages that can wait check available() first. Does no I/O; the caller passes
// the time in.
#ifndef DISPATCHER_GOSSIP_BYTE_BUDGET_HPP_
#define DISPATCHER_GOSSIP_BYTE_BUDGET_HPP_

#include <algorithm>
#include <cstdint>

#include "membership/member.hpp"

namespace dispatcher::gossip {

using membership::Duration;
using membership::Time;

// The token bucket of one member. Owned by a GossipNode and used on its thread.
class ByteBudget {
 public:
  // Allows at most rate * t + burst + debt bytes within any time t. `rate` is in bytes per second, `burst`
  // and `debt` are in bytes. The bucket starts full.
  ByteBudget(std::int64_t rate, std::int64_t burst, std::int64_t debt, Time now)
      : rate_(rate),
        burst_(burst * kMicrosPerByte),
        debt_(debt * kMicrosPerByte),
        level_(burst * kMicrosPerByte),
        refilled_at_(now) {}

  // Returns the number of bytes that may be sent now; negative while the bucket is overdrawn.
  [[nodiscard]] std::int64_t available(Time now) {
    refill(now);
    return level_ / kMicrosPerByte;
  }

  // Spends the bytes, overdrawing the bucket if necessary. Returns false and spends nothing if the debt would
  // exceed its bound.
  [[nodiscard]] bool try_spend(Time now, std::int64_t bytes) {
    refill(now);
    if (level_ - bytes * kMicrosPerByte < -debt_) return false;
    level_ -= bytes * kMicrosPerByte;
    return true;
  }

 private:
  // At one byte per second, the bucket gains one millionth of a byte per microsecond.
  static constexpr std::int64_t kMicrosPerByte = 1'000'000;
  // Longer times since the last refill count as this long, which keeps the product of time and rate within 64
  // bits.
  static constexpr Duration kMaxElapsed = std::chrono::hours(1);

  void refill(Time now) {
    const Duration elapsed = std::min<Duration>(now - refilled_at_, kMaxElapsed);
    if (elapsed <= Duration::zero()) return;
    level_ = std::min(burst_, level_ + elapsed.count() * rate_);
    refilled_at_ = now;
  }

  std::int64_t rate_;   // in bytes per second, which equals millionths of a byte per microsecond
  std::int64_t burst_;  // in millionths of a byte
  std::int64_t debt_;   // in millionths of a byte
  std::int64_t level_;  // in millionths of a byte
  Time refilled_at_;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_BYTE_BUDGET_HPP_
