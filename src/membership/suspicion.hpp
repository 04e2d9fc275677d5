// The timeout of a suspicion, and a member's estimate of its own health: from Lifeguard (Dadgar, Phillips,
// Currey, "Lifeguard: local health awareness for more accurate failure detection", 2018).
#ifndef DISPATCHER_MEMBERSHIP_SUSPICION_HPP_
#define DISPATCHER_MEMBERSHIP_SUSPICION_HPP_

#include <vector>

#include "membership/member.hpp"

namespace dispatcher::membership {

// The timer of one suspicion. It starts with the longest timeout and shortens it, logarithmically, with each
// other member that confirms the suspicion independently: the suspicion of a single, slow accuser lasts long
// enough to be refuted.
// Part of a MemberTable; used on its thread.
class Suspicion {
 public:
  // `required_confirmations` bring the timeout down to the shortest; 0 (a fleet too small for any): from the
  // start.
  Suspicion(Time since, MemberIndex accuser, unsigned required_confirmations, Duration min_timeout,
            Duration max_timeout);
  // Records a confirmation. False where the accuser is known already, or no more confirmations count.
  bool confirm(MemberIndex accuser);
  // Since its start, for the confirmations so far.
  [[nodiscard]] Duration timeout() const;
  // When its member is to be declared dead.
  [[nodiscard]] Time deadline() const { return since_ + timeout(); }
  // Adds time in which this process did not run.
  void extend(Duration pause) { since_ += pause; }
  // The members that confirmed the suspicion, the first accuser first.
  [[nodiscard]] const std::vector<MemberIndex>& accusers() const { return accusers_; }

 private:
  Time since_;
  unsigned required_confirmations_;
  Duration min_timeout_;
  Duration max_timeout_;
  std::vector<MemberIndex> accusers_;  // at most required_confirmations_ + 1
};

// Lifeguard's local health: a score from 0 (healthy) to `max_score`, raised by failed probes without
// nacks from the helpers and by suspicions of this member, lowered by probes that succeed. This member's
// probe interval and timeout are (1 + score) times as long. Part of a Membership; used on its thread.
class LocalHealth {
 public:
  explicit LocalHealth(unsigned max_score) : max_score_(max_score) {}
  void degrade(unsigned amount = 1) {
    const unsigned headroom = max_score_ - score_;
    score_ = amount >= headroom ? max_score_ : score_ + amount;
  }
  // A probe has succeeded.
  void improve() { score_ -= score_ > 0 ? 1 : 0; }
  [[nodiscard]] unsigned score() const { return score_; }
  // A probe interval or timeout, extended for the current score.
  [[nodiscard]] Duration scaled(Duration time) const {
    return time * (1 + static_cast<Duration::rep>(score_));
  }

 private:
  unsigned max_score_;
  unsigned score_ = 0;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_SUSPICION_HPP_
