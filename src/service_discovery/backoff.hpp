// Jittered exponential backoff for calls that each dispatcher of a fleet makes on its own, such as polling
// service discovery. The caller passes the random numbers in, so that a test can replay them.
//
// After the k-th failure in a row the pause is drawn from [min_fraction, 1] x min(maximum,
// initial x multiplier^(k-1)), so that dispatchers that failed together spread out (this is "equal jitter" if
// min_fraction is 0.5; see M. Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015).
#ifndef DISPATCHER_SERVICE_DISCOVERY_BACKOFF_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_BACKOFF_HPP_

#include <chrono>

namespace dispatcher::service_discovery {

using Duration = std::chrono::microseconds;

// Defines how the pauses after one kind of failure grow.
struct BackoffPolicy {
  Duration initial = std::chrono::milliseconds(200);  // the pause after the first failure, before jitter
  Duration maximum = std::chrono::milliseconds(800);  // the longest pause
  double multiplier = 2;      // the factor by which each further failure lengthens the pause; at least 1
  double min_fraction = 0.5;  // the smallest fraction of the pause that jitter leaves, in [0, 1]
};

// Counts failures in a row and computes the pause after each. A value type, used by one thread.
class Backoff {
 public:
  // Clamps values of `policy` that are out of range to the nearest valid ones.
  explicit Backoff(const BackoffPolicy& policy = {});
  // Counts a failure and returns the pause before the next attempt, which is at least 1 us. `jitter` is a
  // uniform random number in [0, 1); other values are clamped.
  [[nodiscard]] Duration on_failure(double jitter);
  // Resets the count, so that the next failure counts as the first.
  void on_success() { failures_ = 0; }
  // Returns the number of failures in a row. It no longer grows once the pause has reached its maximum.
  [[nodiscard]] int failures() const { return failures_; }

 private:
  BackoffPolicy policy_;
  int failures_ = 0;
};

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_BACKOFF_HPP_
