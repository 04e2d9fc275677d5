#include "upstream/connect_timer.hpp"

#include <algorithm>
#include <cmath>

namespace dispatcher::upstream {

namespace {
// As in RFC 6298, section 2.
constexpr double kMeanGain = 1.0 / 8, kDeviationGain = 1.0 / 4, kDeviations = 4;
constexpr int kTimeoutsPerDoubling = 3;
constexpr int kMostTimeouts = 48;  // past any bound: the exponent must not grow in a long outage
}  // namespace

ConnectTimer::ConnectTimer(Duration least, Duration most) { bound(least, most); }

void ConnectTimer::bound(Duration least, Duration most) {
  most_ = std::max(Duration(1), most);
  least_ = std::clamp(least, Duration(1), most_);
}

Duration ConnectTimer::patience() const {
  if (!known_) return most_;
  const double wanted = std::max(static_cast<double>(least_.count()), mean_ + kDeviations * deviation_);
  const double doubled = std::ldexp(wanted, timeouts_ / kTimeoutsPerDoubling);
  return Duration(std::llround(std::min(static_cast<double>(most_.count()), doubled)));
}

void ConnectTimer::came_up(Duration took) {
  const double us = std::max(0.0, static_cast<double>(took.count()));
  deviation_ = known_ ? deviation_ + kDeviationGain * (std::abs(mean_ - us) - deviation_) : us / 2;
  mean_ = known_ ? mean_ + kMeanGain * (us - mean_) : us;
  known_ = true;
  timeouts_ = 0;
}

void ConnectTimer::timed_out() { timeouts_ = std::min(timeouts_ + 1, kMostTimeouts); }

}  // namespace dispatcher::upstream
