#include "membership/probe_rotation.hpp"

#include <boost/random/uniform_int_distribution.hpp>

namespace dispatcher::membership {

void shuffle(std::vector<MemberIndex>& members, Random& random) {
  for (std::size_t i = members.size(); i > 1; --i) {
    boost::random::uniform_int_distribution<std::size_t> draw(0, i - 1);
    std::swap(members[i - 1], members[draw(random)]);
  }
}

std::optional<MemberIndex> ProbeRotation::next(Random& random,
                                               const std::function<bool(MemberIndex)>& is_eligible) {
  // Tries two rounds, as the end of this one and the beginning of the next may contain the same members.
  for (std::size_t tried = 0; tried < 2 * order_.size(); ++tried) {
    if (position_ >= order_.size()) {
      position_ = 0;
      shuffle(random);
    }
    const MemberIndex member = order_[position_++];
    if (is_eligible(member)) return member;
  }
  return std::nullopt;
}

}  // namespace dispatcher::membership
