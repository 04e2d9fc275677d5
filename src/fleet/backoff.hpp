// Jittered exponential back-off for calls that each dispatcher of a fleet makes alone, such as opening the
// watch of discovery again. Pure: the chance is passed in, so that a test can replay it.
//
// After the k-th failure in a row the pause is drawn in [least_part, 1] x min(most, first x growth^(k-1)), so
// that dispatchers that failed together part. A success starts again from `first`.
#ifndef BITTERNFERRY_FLEET_BACKOFF_HPP_
#define BITTERNFERRY_FLEET_BACKOFF_HPP_

#include <chrono>

namespace bitternferry::fleet {

using Duration = std::chrono::microseconds;

struct BackoffShape {
  Duration first = std::chrono::milliseconds(200);  // the pause after one failure, before jitter
  Duration most = std::chrono::milliseconds(800);   // no pause is longer
  double growth = 2;                                // of the pause, each failure in a row; at least 1
  double least_part = 0.5;                          // jitter: the least share of the pause drawn, in [0, 1]
};

class Backoff {
 public:
  explicit Backoff(const BackoffShape& shape = {});
  // The pause before the next try after a failure. `draw` is uniform in [0, 1); other values are clamped.
  Duration failed(double draw);
  void succeeded() { failures_ = 0; }
  int failures() const { return failures_; }

 private:
  BackoffShape shape_;
  int failures_ = 0;
};

// For calls to discovery, one service of fixed capacity for a fleet of `dispatchers` (anything below 1: one).
// Overbooked, it answers nobody: each call waits in line until it fails, and a fleet that comes again at once
// keeps the line as long for good. So the first pause already spreads the fleet's calls, at 20 ms each, and
// at most 2 s: together with a silent watch of 2.5 s it must end within the 6 s after which a drain counts as
// told.
BackoffShape list_calls(int dispatchers);

}  // namespace bitternferry::fleet

#endif  // BITTERNFERRY_FLEET_BACKOFF_HPP_
