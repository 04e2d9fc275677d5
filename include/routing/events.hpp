// Events: what a dispatcher tells the router. See router.hpp for the order in which they are passed.
#ifndef DISPATCHER_ROUTING_EVENTS_HPP_
#define DISPATCHER_ROUTING_EVENTS_HPP_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "routing/identifiers.hpp"
#include "routing/settings.hpp"

namespace dispatcher::routing {

// An endpoint's state as service discovery has it.
enum class EndpointState { kRemoved, kDraining, kReady };

// How an endpoint list is to be read: kFull and kCached replace all that was known, kDelta changes only the
// endpoints that it names, kFailed has none and says that a request for the list failed.
enum class ListKind { kFull, kFailed, kCached, kDelta };

// How an attempt ended. kRead: the reader holds the prompt's state now.
enum class AttemptStatus {
  kServed,
  kError,
  kFull,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNeverSent,
  kRead
};

// What the end of an attempt shows beyond its status.
enum class AttemptEvidence {
  kNone,
  kStateNotFound,    // kFull: the writer found no prompt state to fetch
  kEndpointRunning,  // kError, kReset: a response had begun, so the state was fetched and the endpoint runs.
                     // kConnectFailed: the connection had been made, or its failure is not the endpoint's
};

// One endpoint as service discovery describes it.
struct EndpointInfo {
  EndpointId endpoint;
  std::string zone, kind;
  int cell{};  // endpoints of one zone and cell share a fast network
  EndpointState state{};
  double weight{};  // see Settings::weight_meaning
  Time started{};   // start of its process; zero: long ago
};

// The list of endpoints, or a change of it.
struct EndpointList {
  ListKind kind{};
  std::vector<EndpointInfo> entries;
};

// A request that the router now owes exactly one final answer. A known id is ignored; an unknown class is
// answered with Fail at once. The answer comes by client_deadline if timers are delivered on time.
struct Request {
  RequestId id;
  std::string request_class, tenant;
  std::uint64_t session{}, shared_prefix{};  // zero: none
  int prompt_tokens{}, prefix_tokens{}, max_tokens{};
  Time client_deadline{};
  std::optional<Duration> length_hint;  // expected answer tokens times the class's token objective
  bool client_retry{}, resubmitted{};
};

// An endpoint's report of its load; fields that it does not report are empty.
struct LoadReport {
  std::optional<double> in_flight, memory_share, prompt_kilotokens;
};

// The end of an attempt: exactly one for each StartAttempt. `finished`: the request got its final answer with
// this result or before.
struct AttemptCompleted {
  RequestId request;
  EndpointId endpoint;
  int attempt{};
  AttemptStatus status{};
  Duration elapsed{};  // since the attempt was sent
  bool finished{};
  int cached_prompt_tokens{};  // kRead, kServed: how much of the prompt the endpoint had cached
  AttemptEvidence evidence{};
  LoadReport report;
};

// The first token of an attempt's answer arrived.
struct FirstToken {
  RequestId request;
  EndpointId endpoint;
  int attempt{};
  Duration elapsed{};  // since the attempt was sent
};

// The result of a ReserveSlot action.
struct ReservationResult {
  RequestId request;
  EndpointId endpoint;
  bool held{};
};

// The client closed its connection: no answer is owed any more.
struct ClientGone {
  RequestId request;
};

// A timer set with SetTimer is due.
struct TimerExpired {
  std::uint64_t tag{};
};

// Operators take an endpoint out of service or put it back; this takes precedence over every endpoint list.
// An offline endpoint gets nothing new, also after it left the list and returned. Repeats change nothing.
struct AdministrativeDrain {
  EndpointId endpoint;
  bool offline{};
};

// A moving average, with the mean absolute deviation as a share of the mean and the number of samples.
struct MovingAverage {
  double mean = 0, dev = 0.5;
  int n = 0;
};

// What a router has learned, passed to the process that takes over from it in a hot restart.
struct LearnedState {
  // An endpoint that is warming up.
  struct EndpointHistory {
    EndpointId endpoint;
    std::vector<Time> sends;  // recent attempts sent to it
    Time back{};              // when operators put it back into service; zero: never
  };
  std::array<MovingAverage, 3> starts;  // microseconds per token of start work, by Role
  MovingAverage far;                    // ... and for a state fetched from another cell
  std::array<int, 3> served{};          // results of the last seconds, by Role
  Time since{};                         // when counting those began
  std::vector<EndpointHistory> endpoints;
};

// During a hot restart, the other process sent a request to this endpoint: both share the slow-start budget.
struct PeerForwarded {
  EndpointId endpoint;
};

// Other settings, for the requests from now on; each open request keeps those that it was admitted under.
// They must be valid (settings/check.hpp).
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
};

using Event = std::variant<EndpointList, Request, AttemptCompleted, FirstToken, ReservationResult, ClientGone,
                           TimerExpired, AdministrativeDrain, LearnedState, PeerForwarded, SettingsChanged>;

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_EVENTS_HPP_
