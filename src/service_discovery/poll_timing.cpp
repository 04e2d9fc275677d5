#include "service_discovery/poll_timing.hpp"

#include <algorithm>

namespace dispatcher::service_discovery {

using std::chrono::milliseconds;

namespace {

constexpr Duration kPausePerDispatcher = milliseconds(20);  // about what a call costs service discovery
constexpr Duration kMinInitialPause = milliseconds(200);    // enough to spread a small fleet
constexpr Duration kMaxInitialPause = milliseconds(2000);   // repeated rejections get kMaxRejectionPause
constexpr int kMaxCountedDispatchers = 1000;                // keeps the product from overflowing
constexpr Duration kInitialRapidPause = milliseconds(20);   // after the second failure in a row
constexpr Duration kMaxRapidPause = milliseconds(250);      // before jitter: 4 calls/s to the machine's agent
constexpr double kMinJitterFraction = 0.5;
constexpr double kDoubling = 2;
constexpr double kNoGrowth = 1;

Duration initial_pause(int dispatcher_count, Duration maximum) {
  const int counted = std::clamp(dispatcher_count, 1, kMaxCountedDispatchers);
  return std::clamp<Duration>(kPausePerDispatcher * counted, kMinInitialPause, maximum);
}

BackoffPolicy constant_pause(Duration pause) { return {pause, pause, kNoGrowth, kMinJitterFraction}; }

}  // namespace

BackoffPolicy rejection_backoff(int dispatcher_count) {
  return {initial_pause(dispatcher_count, kMaxInitialPause), kMaxRejectionPause, kDoubling,
          kMinJitterFraction};
}

BackoffPolicy reset_backoff(int dispatcher_count) {
  return constant_pause(initial_pause(dispatcher_count, kMaxInitialPause));
}

BackoffPolicy silence_backoff(int dispatcher_count) {
  return constant_pause(initial_pause(dispatcher_count, kMaxSilencePause));
}

BackoffPolicy rapid_failure_backoff() {
  return {kInitialRapidPause, kMaxRapidPause, kDoubling, kMinJitterFraction};
}

}  // namespace dispatcher::service_discovery
