// Actions: what a dispatcher must do for the router. Plain values. See router.hpp for the order in which they
// are carried out. Durations are in microseconds; times are those of the dispatcher's steady clock.
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
  Time deadline{};  // the dispatcher ends an attempt that is not complete by then (kTimeout)
  // For dispatchers on sockets: a connection that is not made by then has failed. Zero if there is no limit.
  Time connect_by{};
};

// Cancels an attempt that is in flight; its AttemptCompleted still follows.
struct CancelAttempt {
  RequestId request;
  int attempt{};
};

// Why a request gets a final answer without being served; for the request log.
enum class GiveUpReason {
  kUnknownClass,             // its class is not in the settings
  kLoadShed,                 // shed on arrival: first tokens are late
  kNoEndpoint,               // no endpoint is eligible, and waiting cannot help
  kAttemptsUsedUp,           // all max_attempts have been used
  kDeadlineNear,             // too little time is left for a further attempt
  kDeduplicationWindowOver,  // a repeat would no longer be recognized
  kReservationExpired,       // its prompt's state has waited too long for a writer
  kMayHaveRun,               // it is non-idempotent, and an attempt may have been executed
  kNeverSent,                // the dispatcher did not send its attempt
};

// Rejects the request. This is its final answer; the client may safely send the request again.
struct Reject {
  RequestId request;
  std::optional<Duration> retry_after;  // when to retry (HTTP's Retry-After); empty if there is no advice
  GiveUpReason reason{};
};

// Reports that the request failed. This is its final answer; the request may have had effects.
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

// Releases everything that endpoints have reserved for the request: prompt states and slots.
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
