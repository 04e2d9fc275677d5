// Actions: what the router has a dispatcher do. See router.hpp for the order in which they are carried out.
#ifndef DISPATCHER_ROUTING_ACTIONS_HPP_
#define DISPATCHER_ROUTING_ACTIONS_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "routing/identifiers.hpp"
#include "routing/settings.hpp"

namespace dispatcher::routing {

// Sends a request to an endpoint. Attempts of a request are numbered from 0 in the order sent; the dispatcher
// ends one that is not complete at its deadline (kTimeout).
struct StartAttempt {
  RequestId request;
  EndpointId endpoint;
  Time deadline{};
  Time connect_by{};  // for dispatchers on sockets: a connection not made by then has failed; zero: no limit
};

// Cancels an attempt that is in flight; its AttemptCompleted still comes.
struct CancelAttempt {
  RequestId request;
  int attempt{};
};

// Final answer: the request had no effect, retrying is harmless.
struct Reject {
  RequestId request;
  std::optional<Duration> retry_after;
};

// Final answer: the request failed and may have had effects.
struct Fail {
  RequestId request;
};

// Ends a running stream in good order; its client returns and continues elsewhere.
struct MigrateStream {
  RequestId request;
};

// Reserves a slot for the request at a writer while its prompt is being read.
struct ReserveSlot {
  RequestId request;
  EndpointId endpoint;
};

// Releases all that is reserved for the request.
struct ReleaseReservation {
  RequestId request;
};

// Asks for TimerExpired{tag} in the first batch of events after this time.
struct SetTimer {
  Duration after{};
  std::uint64_t tag{};
};

// Asks for the endpoint list, and for its changes from then on.
struct Subscribe {};

// A change of state, for the operators' log.
struct LogMessage {
  std::string text;
};

using Action = std::variant<StartAttempt, CancelAttempt, Reject, Fail, MigrateStream, ReserveSlot,
                            ReleaseReservation, SetTimer, Subscribe, LogMessage>;

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ACTIONS_HPP_
