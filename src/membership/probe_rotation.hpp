// SWIM's round-robin order of probes (section 4.3 of the paper): each member once a round, in an order that
// is drawn anew for each, so that the time until a member is probed is bounded.
#ifndef DISPATCHER_MEMBERSHIP_PROBE_ROTATION_HPP_
#define DISPATCHER_MEMBERSHIP_PROBE_ROTATION_HPP_

#include <cstddef>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "membership/member.hpp"

namespace dispatcher::membership {

// Puts the members into a random order, with one draw for each but the first.
void shuffle(std::vector<MemberIndex>& members, Random& random);

// The order, and the position in it. Part of a Membership; used on its thread.
class ProbeRotation {
 public:
  // The first round has the members in the order given, until shuffle().
  explicit ProbeRotation(std::vector<MemberIndex> members) : order_(std::move(members)) {}

  // Draws the order of the current round.
  void shuffle(Random& random) { membership::shuffle(order_, random); }
  // The next eligible member, of this round or the next one; none where no member is eligible.
  [[nodiscard]] std::optional<MemberIndex> next(Random& random,
                                                const std::function<bool(MemberIndex)>& is_eligible);

  [[nodiscard]] const std::vector<MemberIndex>& order() const { return order_; }
  [[nodiscard]] std::size_t position() const { return position_; }

 private:
  std::vector<MemberIndex> order_;
  std::size_t position_ = 0;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_PROBE_ROTATION_HPP_
