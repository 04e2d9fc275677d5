#include "upstream/connect_timeout_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace dispatcher::upstream {

namespace {

// The gains and the factor of RFC 6298, section 2: alpha, beta and K.
constexpr double kMeanGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
constexpr double kDeviationFactor = 4;

// The number of timeouts in a row that doubles the timeout. Several are required, as they indicate a cause
// common to all endpoints.
constexpr int kTimeoutsPerDoubling = 3;
// Limits the exponent, which would otherwise grow during a long outage. The estimate has reached its maximum
// long before.
constexpr int kMaxTimeoutsInARow = 48;

}  // namespace

ConnectTimeoutEstimator::ConnectTimeoutEstimator(Duration minimum, Duration maximum) {
  set_bounds(minimum, maximum);
}

void ConnectTimeoutEstimator::set_bounds(Duration minimum, Duration maximum) {
  max_timeout_ = std::max(Duration(1), maximum);
  min_timeout_ = std::clamp(minimum, Duration(1), max_timeout_);
}

Duration ConnectTimeoutEstimator::timeout() const {
  if (!has_sample_) return max_timeout_;
  const auto min_us = static_cast<double>(min_timeout_.count());
  const auto max_us = static_cast<double>(max_timeout_.count());
  const double estimate_us = std::max(min_us, mean_us_ + kDeviationFactor * deviation_us_);
  const double backed_off_us = std::ldexp(estimate_us, timeouts_in_a_row_ / kTimeoutsPerDoubling);
  return Duration(std::llround(std::min(max_us, backed_off_us)));
}

void ConnectTimeoutEstimator::on_connected(Duration elapsed) {
  const double elapsed_us = std::max(0.0, static_cast<double>(elapsed.count()));
  if (has_sample_) {
    deviation_us_ = deviation_us_ + kDeviationGain * (std::abs(mean_us_ - elapsed_us) - deviation_us_);
    mean_us_ = mean_us_ + kMeanGain * (elapsed_us - mean_us_);
  } else {
    deviation_us_ = elapsed_us / 2;
    mean_us_ = elapsed_us;
  }
  has_sample_ = true;
  timeouts_in_a_row_ = 0;
}

void ConnectTimeoutEstimator::on_timeout() {
  timeouts_in_a_row_ = std::min(timeouts_in_a_row_ + 1, kMaxTimeoutsInARow);
}

}  // namespace dispatcher::upstream
