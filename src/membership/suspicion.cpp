#include "membership/suspicion.hpp"

#include <algorithm>
#include <cmath>

namespace dispatcher::membership {

Suspicion::Suspicion(Time since, Number accuser, unsigned wanted, Duration minimum, Duration maximum)
    : since_(since), wanted_(wanted), min_(minimum), max_(std::max(minimum, maximum)), accusers_{accuser} {}

bool Suspicion::confirm(Number accuser) {
  if (accusers_.size() > wanted_) return false;
  if (std::find(accusers_.begin(), accusers_.end(), accuser) != accusers_.end()) return false;
  accusers_.push_back(accuser);
  return true;
}

Duration Suspicion::wait() const {
  if (wanted_ == 0) return min_;
  const auto confirmations = static_cast<double>(accusers_.size() - 1);
  const double part = std::log(confirmations + 1) / std::log(static_cast<double>(wanted_) + 1);
  const auto shorter = static_cast<double>((max_ - min_).count()) * std::min(1.0, part);
  return std::max(min_, max_ - Duration(static_cast<Duration::rep>(shorter)));
}

}  // namespace dispatcher::membership
