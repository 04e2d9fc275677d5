// Jittered exponential backoff for calls that each dispatcher of a fleet makes on its own, such as polling
// service discovery. Pure: the random number is passed in, so that a test can replay it.
//
// After the k-th failure in a row the pause is drawn from [min_fraction, 1] x min(maximum,
// initial x multiplier^(k-1)), so that dispatchers that failed together spread out ("equal jitter" where
// min_fraction is 0.5; see M. Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015).
#ifndef DISPATCHER_SERVICE_DISCOVERY_BACKOFF_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_BACKOFF_HPP_

#include <chrono>

namespace dispatcher::service_discovery {

using Duration = std::chrono::microseconds;

// How the pauses of one kind of failure grow.
struct BackoffPolicy {
  Duration initial = std::chrono::milliseconds(200);  // the pause after one failure, before jitter
  Duration maximum = std::chrono::milliseconds(800);  // no pause is longer
  double multiplier = 2;      // of the pause with each further failure in a row; at least 1
  double min_fraction = 0.5;  // jitter: the least share of the pause that is drawn, in [0, 1]
};

// The count of failures in a row, and the pauses that follow from it. A value type, used by one thread.
class Backoff {
 public:
  // Values out of range are clamped to the nearest that works.
  explicit Backoff(const BackoffPolicy& policy = {});
  // Counts a failure and returns the pause before the next attempt, at least 1 us. `jitter` is uniform in
  // [0, 1); other values are clamped.
  [[nodiscard]] Duration on_failure(double jitter);
  // The next failure counts as the first.
  void on_success() { failures_ = 0; }
  // Failures in a row; stops counting where the pause has reached its maximum.
  [[nodiscard]] int failures() const { return failures_; }

 private:
  BackoffPolicy policy_;
  int failures_ = 0;
};

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_BACKOFF_HPP_
