// SWIM's round-robin order of probes (section 4.3 of the paper): each member is probed once per round, and
// each round has a new random order. This bounds the time until a member is probed.
#ifndef DISPATCHER_MEMBERSHIP_PROBE_ROTATION_HPP_
#define DISPATCHER_MEMBERSHIP_PROBE_ROTATION_HPP_

#include <cstddef>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "membership/member.hpp"

namespace dispatcher::membership {

// Puts the members into a random order, with one random draw for each member except the first.
void shuffle(std::vector<MemberIndex>& members, Random& random);

// Holds the order of a round and the position in it. Part of a Membership; used on its thread.
class ProbeRotation {
 public:
  // The first round has the members in the given order unless shuffle() is called.
  explicit ProbeRotation(std::vector<MemberIndex> members) : order_(std::move(members)) {}

  // Draws a new order for the current round.
  void shuffle(Random& random) { membership::shuffle(order_, random); }
  // Returns the next eligible member of this round or the next one, or nullopt if no member is eligible.
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
