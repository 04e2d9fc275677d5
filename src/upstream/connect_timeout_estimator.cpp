#include "upstream/connect_timeout_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace dispatcher::upstream {

namespace {
// As in RFC 6298, section 2.
constexpr double kMeanGain = 1.0 / 8, kDeviationGain = 1.0 / 4, kDeviations = 4;
constexpr int kTimeoutsPerDoubling = 3;
constexpr int kMaxTimeouts = 48;  // past any bound: the exponent must not grow in a long outage
}  // namespace

ConnectTimeoutEstimator::ConnectTimeoutEstimator(Duration minimum, Duration maximum) {
  bound(minimum, maximum);
}

void ConnectTimeoutEstimator::bound(Duration minimum, Duration maximum) {
  max_ = std::max(Duration(1), maximum);
  min_ = std::clamp(minimum, Duration(1), max_);
}

Duration ConnectTimeoutEstimator::patience() const {
  if (!known_) return max_;
  const double wanted = std::max(static_cast<double>(min_.count()), mean_ + kDeviations * deviation_);
  const double doubled = std::ldexp(wanted, timeouts_ / kTimeoutsPerDoubling);
  return Duration(std::llround(std::min(static_cast<double>(max_.count()), doubled)));
}

void ConnectTimeoutEstimator::came_up(Duration took) {
  const double us = std::max(0.0, static_cast<double>(took.count()));
  deviation_ = known_ ? deviation_ + kDeviationGain * (std::abs(mean_ - us) - deviation_) : us / 2;
  mean_ = known_ ? mean_ + kMeanGain * (us - mean_) : us;
  known_ = true;
  timeouts_ = 0;
}

void ConnectTimeoutEstimator::timed_out() { timeouts_ = std::min(timeouts_ + 1, kMaxTimeouts); }

}  // namespace dispatcher::upstream
