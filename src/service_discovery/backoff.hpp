// Jittered exponential back-off for calls that each dispatcher of a fleet makes alone, such as opening the
// watch of discovery again. Pure: the chance is passed in, so that a test can replay it.
//
// After the k-th failure in a row the pause is drawn in [least_part, 1] x min(most, first x growth^(k-1)), so
// that dispatchers that failed together part. A success starts again from `first`.
#ifndef DISPATCHER_SERVICE_DISCOVERY_BACKOFF_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_BACKOFF_HPP_

#include <chrono>

namespace dispatcher::service_discovery {

using Duration = std::chrono::microseconds;

struct BackoffShape {
  Duration first = std::chrono::milliseconds(200);    // the pause after one failure, before jitter
  Duration maximum = std::chrono::milliseconds(800);  // no pause is longer
  double growth = 2;                                  // of the pause, each failure in a row; at least 1
  double min_part = 0.5;                              // jitter: the least share of the pause drawn, in [0, 1]
};

class Backoff {
 public:
  explicit Backoff(const BackoffShape& shape = {});
  // The pause before the next try after a failure. `draw` is uniform in [0, 1); other values are clamped.
  Duration failed(double draw);
  void succeeded() { failures_ = 0; }
  [[nodiscard]] int failures() const { return failures_; }

 private:
  BackoffShape shape_;
  int failures_ = 0;
};

// The times of calls to discovery. A change counts as told 6 s after discovery had it, so from whatever state
// the calls are in, the next one that discovery answers must have been made and answered by then:
//
//   a watch fell silent:       kSilence    2.4 + kSpread 1.0 + kCallLimit 2.2 = 5.6 s
//   an object never ended:     kObject     2.5 + kSpread 1.0 + kCallLimit 2.2 = 5.7 s
//   a call got no answer:      kCallLimit  2.2 + kSpread 1.0 + kCallLimit 2.2 = 5.4 s
//   calls refused or reset:    kLongestPause            3.0 + kCallLimit 2.2 = 5.2 s
//   pushed, moved by SIGHUP:   kCallLimit  2.2, then the second call, of 4 s
//
// An overbooked discovery answers a call after 2 s and an open watch gets an empty line every 2 s: the limits
// must lie above that, or the refusal is never read and a healthy watch is taken for a silent one.
constexpr Duration kToldAfter = std::chrono::milliseconds(6000);
constexpr Duration kToldAfterMove = std::chrono::milliseconds(4000);
constexpr Duration kOverbookedWait = std::chrono::milliseconds(2000);
constexpr Duration kEmptyLines = std::chrono::milliseconds(2000);

constexpr Duration kCallLimit = std::chrono::milliseconds(2200);  // from its connect to its answer
constexpr Duration kSilence = std::chrono::milliseconds(2400);    // of a watch, from its last byte
constexpr Duration kObject = std::chrono::milliseconds(2500);     // from an object's first byte to its last
constexpr Duration kSpread = std::chrono::milliseconds(1000);     // longest pause after silence
constexpr Duration kLongestPause = std::chrono::milliseconds(3000);  // after refusals
constexpr Duration kMargin = std::chrono::milliseconds(250);         // the machine's own delays

static_assert(kCallLimit >= kOverbookedWait + std::chrono::milliseconds(100));
static_assert(kSilence >= kEmptyLines + std::chrono::milliseconds(100));
static_assert(kSilence + kSpread + kCallLimit + kMargin < kToldAfter);
static_assert(kObject + kSpread + kCallLimit + kMargin < kToldAfter);
static_assert(kCallLimit + kSpread + kCallLimit + kMargin < kToldAfter);
static_assert(kLongestPause + kCallLimit + kMargin < kToldAfter);
static_assert(kCallLimit + kSpread + kMargin < kToldAfterMove);

// After refusals by discovery, one service of fixed capacity for a fleet of `dispatchers` (anything below 1:
// one). Overbooked, it answers nobody: each call waits in line until it fails, and a fleet that comes again
// at once keeps the line as long for good. So the first pause already spreads the fleet's calls, at 20 ms
// each.
BackoffShape list_calls(int dispatchers);
// Between calls to a discovery that is shared, after a reset: by the fleet's size too, but with no growth, as
// what could not be reached was not overbooked.
BackoffShape after_reset(int dispatchers);
// The same after silence, of which kSilence or kCallLimit has passed already.
BackoffShape after_silence(int dispatchers);
// Between calls that cost nobody anything, and fail at once several times in a row.
BackoffShape against_spinning();

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_BACKOFF_HPP_
