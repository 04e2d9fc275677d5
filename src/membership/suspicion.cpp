#include "membership/suspicion.hpp"

#include <algorithm>
#include <cmath>

namespace dispatcher::membership {

Suspicion::Suspicion(Time since, MemberIndex accuser, unsigned required_confirmations, Duration min_timeout,
                     Duration max_timeout)
    : since_(since),
      required_confirmations_(required_confirmations),
      min_timeout_(min_timeout),
      max_timeout_(std::max(min_timeout, max_timeout)),
      accusers_{accuser} {}

bool Suspicion::confirm(MemberIndex accuser) {
  if (accusers_.size() > required_confirmations_) return false;
  if (std::find(accusers_.begin(), accusers_.end(), accuser) != accusers_.end()) return false;
  accusers_.push_back(accuser);
  return true;
}

Duration Suspicion::timeout() const {
  if (required_confirmations_ == 0) return min_timeout_;
  const auto confirmations = static_cast<double>(accusers_.size() - 1);
  const double part =
      std::log(confirmations + 1) / std::log(static_cast<double>(required_confirmations_) + 1);
  const auto shorter = static_cast<double>((max_timeout_ - min_timeout_).count()) * std::min(1.0, part);
  return std::max(min_timeout_, max_timeout_ - Duration(static_cast<Duration::rep>(shorter)));
}

}  // namespace dispatcher::membership
