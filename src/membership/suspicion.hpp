// The timeout of a suspicion, and a member's estimate of its own health, both from Lifeguard (Dadgar,
// Phillips, Currey, "Lifeguard: local health awareness for more accurate failure detection", 2018).
#ifndef DISPATCHER_MEMBERSHIP_SUSPICION_HPP_
#define DISPATCHER_MEMBERSHIP_SUSPICION_HPP_

#include <vector>

#include "membership/member.hpp"

namespace dispatcher::membership {

// The timer of one suspicion. It starts with the maximum timeout, which becomes logarithmically shorter with
// each other member that confirms the suspicion independently. A suspicion by a single, slow accuser thus
// lasts long enough to be refuted. Part of a MemberTable; used on its thread.
class Suspicion {
 public:
  // `required_confirmations` is the number of confirmations that shorten the timeout to the minimum. If it is
  // 0 (the fleet is too small for any), the timeout is the minimum from the start.
  Suspicion(Time since, MemberIndex accuser, unsigned required_confirmations, Duration min_timeout,
            Duration max_timeout);
  // Records a confirmation. Returns false if the accuser has already been recorded or the required
  // confirmations are complete.
  bool confirm(MemberIndex accuser);
  // Returns the timeout for the confirmations so far, counted from the start of the suspicion.
  [[nodiscard]] Duration timeout() const;
  // Returns when the suspect is to be declared dead.
  [[nodiscard]] Time deadline() const { return since_ + timeout(); }
  // Extends the suspicion by `pause`, a time in which this process did not run.
  void extend(Duration pause) { since_ += pause; }
  // Returns the members that raised or confirmed the suspicion, starting with the first accuser.
  [[nodiscard]] const std::vector<MemberIndex>& accusers() const { return accusers_; }

 private:
  Time since_;
  unsigned required_confirmations_;
  Duration min_timeout_;
  Duration max_timeout_;
  std::vector<MemberIndex> accusers_;  // at most required_confirmations_ + 1
};

// Lifeguard's local health: a score from 0 (healthy) to `max_score`. Failed probes without nacks from the
// helpers, suspicions of this member and pauses of its process raise it, and successful probes lower it. The
// probe interval and timeout of this member are multiplied by (1 + score). Part of a Membership; used on its
// thread.
class LocalHealth {
 public:
  explicit LocalHealth(unsigned max_score) : max_score_(max_score) {}
  void degrade(unsigned amount = 1) {
    const unsigned headroom = max_score_ - score_;
    score_ = amount >= headroom ? max_score_ : score_ + amount;
  }
  // Called when a probe has succeeded.
  void improve() { score_ -= score_ > 0 ? 1 : 0; }
  [[nodiscard]] unsigned score() const { return score_; }
  // Returns the probe interval or timeout `time`, scaled for the current score.
  [[nodiscard]] Duration scaled(Duration time) const {
    return time * (1 + static_cast<Duration::rep>(score_));
  }

 private:
  unsigned max_score_;
  unsigned score_ = 0;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_SUSPICION_HPP_
