// Actions: what a dispatcher must do for the router. Plain values. See router.hpp for the order in which they
// are carried out. All durations are microseconds, all times those of the dispatcher's steady clock.
#ifndef DISPATCHER_ROUTING_ACTIONS_HPP_
#define DISPATCHER_ROUTING_ACTIONS_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "routing/identifiers.hpp"
#include "routing/settings.hpp"

namespace dispatcher::routing {

// Sends a request to an endpoint. Attempts of a request are numbered from 0 in the order sent; each ends with
// one AttemptCompleted.
struct StartAttempt {
  RequestId request;
  EndpointId endpoint;
  Time deadline{};    // the dispatcher ends an attempt that is not complete by then (kTimeout)
  Time connect_by{};  // for dispatchers on sockets: a connection not made by then has failed; zero: no limit
};

// Cancels an attempt that is in flight; its AttemptCompleted still follows.
struct CancelAttempt {
  RequestId request;
  int attempt{};
};

// Why a request gets a final answer without being served, for the log of requests.
enum class GiveUpReason {
  kUnknownClass,             // its class is not in the settings
  kLoadShed,                 // shed on arrival: first tokens are late
  kNoEndpoint,               // no endpoint is eligible, and waiting can't help
  kAttemptsUsedUp,           // max_attempts are spent
  kDeadlineNear,             // too little time is left for a further attempt
  kDeduplicationWindowOver,  // a repeat would not be recognized any more
  kReservationExpired,       // its prompt's state has waited too long for a writer
  kMayHaveRun,               // not idempotent, and an attempt may have been executed
  kNeverSent,                // the dispatcher refused to send its attempt
};

// Final answer: the client may safely send the request again.
struct Reject {
  RequestId request;
  std::optional<Duration> retry_after;  // advice on when (HTTP's Retry-After); empty: none
  GiveUpReason reason{};
};

// Final answer: the request failed and may have had effects.
struct Fail {
  RequestId request;
  GiveUpReason reason{};
};

// Ends a running stream so that its client sends the request again and continues at another endpoint.
struct MigrateStream {
  RequestId request;
};

// Reserves a slot for the request at a writer while its prompt is being read.
struct ReserveSlot {
  RequestId request;
  EndpointId endpoint;
};

// Releases all that endpoints have reserved for the request: prompt states and slots.
struct ReleaseReservation {
  RequestId request;
};

// Requests TimerExpired{tag} in the first batch of events after this time.
struct SetTimer {
  Duration after{};  // from the time of the event that is being handled
  std::uint64_t tag{};
};

// Requests the endpoint list, and its changes from then on.
struct Subscribe {};

// A change of state, for the operators' log.
struct LogMessage {
  std::string text;
};

using Action = std::variant<StartAttempt, CancelAttempt, Reject, Fail, MigrateStream, ReserveSlot,
                            ReleaseReservation, SetTimer, Subscribe, LogMessage>;

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ACTIONS_HPP_
