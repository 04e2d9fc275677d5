// Exponential moving average of a positive quantity and of its relative deviation.
// Has no thresholds of its own: they are passed in as Smoothing.
#ifndef DISPATCHER_ROUTING_MOVING_AVERAGE_HPP_
#define DISPATCHER_ROUTING_MOVING_AVERAGE_HPP_

#include <algorithm>
#include <cmath>

#include "routing/events.hpp"

namespace dispatcher::routing {

// Parameters of an average.
struct Smoothing {
  int min_samples;      // number of samples from which the mean is trusted
  double min_gain;      // weight of a new sample once there are many
  double max_multiple;  // larger samples are reduced to this multiple of a trusted mean
};

// The average itself. Its base class is the part that a hot restart transfers.
struct ExponentialMovingAverage : MovingAverage {
  // Adds a sample. Until there are 1 / min_gain samples, the mean is their arithmetic mean.
  void add(double sample, const Smoothing& smoothing) {
    if (is_trusted(smoothing)) sample = std::min(sample, smoothing.max_multiple * mean);
    const double gain = std::max(smoothing.min_gain, 1.0 / ++n);
    mean += gain * (sample - mean);
    if (mean > 0) dev += gain * (std::abs(sample - mean) / mean - dev);
  }

  [[nodiscard]] bool is_trusted(const Smoothing& smoothing) const { return n >= smoothing.min_samples; }
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_MOVING_AVERAGE_HPP_
