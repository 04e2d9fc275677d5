#include "service_discovery/backoff.hpp"

#include <algorithm>
#include <cmath>

namespace dispatcher::service_discovery {

Backoff::Backoff(const BackoffShape& shape) : shape_(shape) {
  shape_.growth = std::max(1.0, shape_.growth);
  shape_.min_part = std::clamp(shape_.min_part, 0.0, 1.0);
  shape_.first = std::max(Duration(1), shape_.first);
  shape_.maximum = std::max(shape_.first, shape_.maximum);
}

Duration Backoff::failed(double draw) {
  // Counted up to where the cap is reached, so that long outages neither overflow nor grow the exponent.
  const double maximum = static_cast<double>(shape_.maximum.count()),
               first = static_cast<double>(shape_.first.count());
  const double full = std::min(maximum, first * std::pow(shape_.growth, failures_));
  if (full < maximum) ++failures_;
  const double part = shape_.min_part + (1 - shape_.min_part) * std::clamp(draw, 0.0, 1.0);
  return Duration(std::max<long long>(1, std::llround(full * part)));
}

namespace {
Duration first_pause(int dispatchers, Duration maximum) {
  using std::chrono::milliseconds;
  constexpr Duration kEach = milliseconds(20), kMin = milliseconds(200);
  return std::clamp<Duration>(kEach * std::clamp(dispatchers, 1, 1000), kMin, maximum);
}
}  // namespace

BackoffShape list_calls(int dispatchers) {
  return {first_pause(dispatchers, std::chrono::milliseconds(2000)), kLongestPause, 2, 0.5};
}

BackoffShape after_reset(int dispatchers) {
  const Duration pause = list_calls(dispatchers).first;
  return {pause, pause, 1, 0.5};
}

BackoffShape after_silence(int dispatchers) {
  const Duration pause = first_pause(dispatchers, kSpread);
  return {pause, pause, 1, 0.5};
}

BackoffShape against_spinning() {
  return {std::chrono::milliseconds(20), std::chrono::milliseconds(250), 2, 0.5};
}

}  // namespace dispatcher::service_discovery
