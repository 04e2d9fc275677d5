// The timeouts and backoff policies of polling service discovery, and the arithmetic that bounds how stale an
// endpoint list may become.
//
// The dispatcher must know a change within kMaxStaleness (6 s) after service discovery does. Whatever state
// the calls are in then, the next call that is answered must be made and answered within this bound:
//
// clang-format off
//   state                              timeout or pause before    + pause             + answer      = total
//   the watch went silent              kWatchTimeout      2.4 s   + kMaxSilencePause  + kCallTimeout  5.6 s
//   a JSON object never ended          kObjectTimeout     2.5 s   + kMaxSilencePause  + kCallTimeout  5.7 s
//   a call got no answer               kCallTimeout       2.2 s   + kMaxSilencePause  + kCallTimeout  5.4 s
//   calls were rejected or reset       kMaxRejectionPause 3.0 s                       + kCallTimeout  5.2 s
//   the address was changed by SIGHUP  kCallTimeout       2.2 s, then a second call, within the limit of 4 s
// clang-format on
//
// with kMaxSilencePause = 1.0 s and kCallTimeout = 2.2 s. The limits of 6 s and 4 s are the platform's. The
// delays of its service discovery are fixed too: if it is overloaded, it rejects a call after 2 s, and an
// open watch carries an empty line every 2 s. The timeouts must be longer than these, or rejections are never
// read and a healthy watch is treated as silent. The static_asserts below check the sums.
#ifndef DISPATCHER_SERVICE_DISCOVERY_POLL_TIMING_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_POLL_TIMING_HPP_

#include <chrono>

#include "service_discovery/backoff.hpp"

namespace dispatcher::service_discovery {

// The time within which a change must reach this dispatcher from service discovery; set by the platform.
constexpr Duration kMaxStaleness = std::chrono::milliseconds(6000);
// The same from when the address of service discovery was changed; set by the platform.
constexpr Duration kMaxStalenessAfterAddressChange = std::chrono::milliseconds(4000);
// The time after which an overloaded service discovery rejects a call; set by service discovery.
constexpr Duration kOverloadedResponseDelay = std::chrono::milliseconds(2000);
// The interval of empty lines on a watch without changes; set by service discovery.
constexpr Duration kKeepAliveInterval = std::chrono::milliseconds(2000);

constexpr Duration kCallTimeout = std::chrono::milliseconds(2200);    // from connecting to the response head
constexpr Duration kWatchTimeout = std::chrono::milliseconds(2400);   // from the last byte of a watch
constexpr Duration kObjectTimeout = std::chrono::milliseconds(2500);  // from first to last byte of an object
// The longest pause after a timeout.
constexpr Duration kMaxSilencePause = std::chrono::milliseconds(1000);
// The longest pause after rejections.
constexpr Duration kMaxRejectionPause = std::chrono::milliseconds(3000);
constexpr Duration kSchedulingMargin = std::chrono::milliseconds(250);  // for delays of the machine

static_assert(kCallTimeout >= kOverloadedResponseDelay + std::chrono::milliseconds(100));
static_assert(kWatchTimeout >= kKeepAliveInterval + std::chrono::milliseconds(100));
static_assert(kWatchTimeout + kMaxSilencePause + kCallTimeout + kSchedulingMargin < kMaxStaleness);
static_assert(kObjectTimeout + kMaxSilencePause + kCallTimeout + kSchedulingMargin < kMaxStaleness);
static_assert(kCallTimeout + kMaxSilencePause + kCallTimeout + kSchedulingMargin < kMaxStaleness);
static_assert(kMaxRejectionPause + kCallTimeout + kSchedulingMargin < kMaxStaleness);
static_assert(kCallTimeout + kMaxSilencePause + kSchedulingMargin < kMaxStalenessAfterAddressChange);

// Returns the policy after rejections by a service discovery of fixed capacity that serves `dispatcher_count`
// dispatchers (values below 1 count as 1). An overloaded service answers no call in time: calls wait in its
// queue until they fail, and a fleet that retries at once keeps the queue full forever. So the first pause
// already spreads the fleet's calls, at 20 ms for each dispatcher.
[[nodiscard]] BackoffPolicy rejection_backoff(int dispatcher_count);
// Returns the policy after a connection to a shared service discovery was reset. Its pauses depend on the
// fleet's size too, but don't grow, since a service that couldn't be reached was not overloaded.
[[nodiscard]] BackoffPolicy reset_backoff(int dispatcher_count);
// Returns the same policy for a timeout, with a shorter maximum, since kWatchTimeout or kCallTimeout has
// already passed when it applies.
[[nodiscard]] BackoffPolicy silence_backoff(int dispatcher_count);
// Returns the policy for calls that load no shared service and fail at once several times in a row.
[[nodiscard]] BackoffPolicy rapid_failure_backoff();

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_POLL_TIMING_HPP_
