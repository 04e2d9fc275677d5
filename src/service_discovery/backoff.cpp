#include "service_discovery/backoff.hpp"

#include <algorithm>
#include <cmath>

namespace dispatcher::service_discovery {

Backoff::Backoff(const BackoffPolicy& policy) : policy_(policy) {
  policy_.multiplier = std::max(1.0, policy_.multiplier);
  policy_.min_fraction = std::clamp(policy_.min_fraction, 0.0, 1.0);
  policy_.initial = std::max(Duration(1), policy_.initial);
  policy_.maximum = std::max(policy_.initial, policy_.maximum);
}

Duration Backoff::on_failure(double jitter) {
  const auto maximum = static_cast<double>(policy_.maximum.count());
  const auto initial = static_cast<double>(policy_.initial.count());
  const double full_pause = std::min(maximum, initial * std::pow(policy_.multiplier, failures_));
  // Counts failures only until the pause reaches its maximum, so that the power doesn't overflow in a long
  // outage.
  if (full_pause < maximum) ++failures_;
  const double fraction = policy_.min_fraction + (1 - policy_.min_fraction) * std::clamp(jitter, 0.0, 1.0);
  return Duration(std::max<long long>(1, std::llround(full_pause * fraction)));
}

}  // namespace dispatcher::service_discovery
