// The timeouts and backoff policies of polling service discovery, and the arithmetic that bounds how stale an
// endpoint list may become.
//
// A change must be known kMaxStaleness (6 s) after service discovery had it. Whatever state the calls are in
// when that happens, the next call that service discovery answers must have been made and answered by then:
//
// clang-format off
//   state                              timeout or pause before    + pause             + answer      = total
//   the watch went silent              kWatchTimeout      2.4 s   + kMaxSilencePause  + kCallTimeout  5.6 s
//   a JSON object never ended          kObjectTimeout     2.5 s   + kMaxSilencePause  + kCallTimeout  5.7 s
//   a call got no answer               kCallTimeout       2.2 s   + kMaxSilencePause  + kCallTimeout  5.4 s
//   calls were rejected or reset       kMaxRejectionPause 3.0 s                       + kCallTimeout  5.2 s
//   the address was changed by SIGHUP  kCallTimeout       2.2 s, then a second call, within the 4 s allowed
// clang-format on
//
// with kMaxSilencePause = 1.0 s and kCallTimeout = 2.2 s. The limits of 6 s and 4 s are the platform's. The
// delays of its service discovery are fixed too: an overloaded one rejects a call after 2 s, and an open
// watch carries an empty line every 2 s. The timeouts must lie above these, or the rejection is never read
// and a healthy watch is taken for a silent one. The static_asserts below check the sums.
#ifndef DISPATCHER_SERVICE_DISCOVERY_POLL_TIMING_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_POLL_TIMING_HPP_

#include <chrono>

#include "service_discovery/backoff.hpp"

namespace dispatcher::service_discovery {

// Given by the platform: from when service discovery knows a change until this dispatcher must.
constexpr Duration kMaxStaleness = std::chrono::milliseconds(6000);
// Given by the platform: the same from when the address of service discovery was changed.
constexpr Duration kMaxStalenessAfterAddressChange = std::chrono::milliseconds(4000);
// Given by service discovery: an overloaded one rejects a call after so long.
constexpr Duration kOverloadedResponseDelay = std::chrono::milliseconds(2000);
// Given by service discovery: between the empty lines of a watch without changes.
constexpr Duration kKeepAliveInterval = std::chrono::milliseconds(2000);

constexpr Duration kCallTimeout = std::chrono::milliseconds(2200);    // from connecting to the response head
constexpr Duration kWatchTimeout = std::chrono::milliseconds(2400);   // of a watch, from its last byte
constexpr Duration kObjectTimeout = std::chrono::milliseconds(2500);  // of a JSON object, first byte to last
// The longest pause after a timeout.
constexpr Duration kMaxSilencePause = std::chrono::milliseconds(1000);
// The longest pause after rejections.
constexpr Duration kMaxRejectionPause = std::chrono::milliseconds(3000);
constexpr Duration kSchedulingMargin = std::chrono::milliseconds(250);  // for delays of the machine itself

static_assert(kCallTimeout >= kOverloadedResponseDelay + std::chrono::milliseconds(100));
static_assert(kWatchTimeout >= kKeepAliveInterval + std::chrono::milliseconds(100));
static_assert(kWatchTimeout + kMaxSilencePause + kCallTimeout + kSchedulingMargin < kMaxStaleness);
static_assert(kObjectTimeout + kMaxSilencePause + kCallTimeout + kSchedulingMargin < kMaxStaleness);
static_assert(kCallTimeout + kMaxSilencePause + kCallTimeout + kSchedulingMargin < kMaxStaleness);
static_assert(kMaxRejectionPause + kCallTimeout + kSchedulingMargin < kMaxStaleness);
static_assert(kCallTimeout + kMaxSilencePause + kSchedulingMargin < kMaxStalenessAfterAddressChange);

// After rejections by a service discovery of fixed capacity that serves `dispatcher_count` dispatchers (below
// 1 counts as 1). An overloaded one answers no call in time: calls wait in its queue until they fail, and a
// fleet that retries at once keeps the queue full for good. So the first pause already spreads the fleet's
// calls, at 20 ms for each dispatcher.
[[nodiscard]] BackoffPolicy rejection_backoff(int dispatcher_count);
// After a connection to a shared service discovery was reset: spread by the fleet's size too, but without
// growth, as a service that couldn't be reached was not overloaded.
[[nodiscard]] BackoffPolicy reset_backoff(int dispatcher_count);
// The same after a timeout, of which kWatchTimeout or kCallTimeout has already passed.
[[nodiscard]] BackoffPolicy silence_backoff(int dispatcher_count);
// Between calls that load no shared service and fail at once several times in a row.
[[nodiscard]] BackoffPolicy rapid_failure_backoff();

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_POLL_TIMING_HPP_
