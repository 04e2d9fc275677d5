// How long a suspicion waits for its member's answer, and how far a member trusts itself: the two scales of
// Lifeguard (Dadgar, Phillips, Currey, 2018).
#ifndef DISPATCHER_MEMBERSHIP_SUSPICION_HPP_
#define DISPATCHER_MEMBERSHIP_SUSPICION_HPP_

#include <vector>

#include "membership/member.hpp"

namespace dispatcher::membership {

// Begins with the longest wait and shortens it, logarithmically, with each other member that suspects the
// same on its own: a slow accuser alone waits long enough to be answered.
class Suspicion {
 public:
  // `wanted`: confirmations that bring the wait down to `least`; 0 (a fleet too small to have them): at once.
  Suspicion(Time since, Number accuser, unsigned wanted, Duration minimum, Duration maximum);
  bool confirm(Number accuser);  // true: an accuser that is news and still counts
  [[nodiscard]] Duration wait() const;
  [[nodiscard]] Time ends() const { return since_ + wait(); }
  void shift(Duration pause) { since_ += pause; }  // time in which this process did not run
  [[nodiscard]] const std::vector<Number>& accusers() const { return accusers_; }

 private:
  Time since_;
  unsigned wanted_;
  Duration min_, max_;
  std::vector<Number> accusers_;  // at most wanted_ + 1
};

// From 0, well, to `most`: raised by probes that fail without a sign of their helpers and by suspicions of
// this member, lowered by probes that succeed. Its probes wait and pause (1 + score) times as long.
class LocalHealth {
 public:
  explicit LocalHealth(unsigned maximum) : max_(maximum) {}
  void worse(unsigned by = 1) { score_ = by >= max_ - score_ ? max_ : score_ + by; }
  void better() { score_ -= score_ > 0 ? 1 : 0; }
  [[nodiscard]] unsigned score() const { return score_; }
  [[nodiscard]] Duration scaled(Duration time) const {
    return time * (1 + static_cast<Duration::rep>(score_));
  }

 private:
  unsigned max_;
  unsigned score_ = 0;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_SUSPICION_HPP_
