// Events: what a dispatcher reports to the router. Plain values. See router.hpp for the order in which they
// are passed. Durations are in microseconds; times are those of the dispatcher's steady clock.
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

// An endpoint's state as service discovery reports it.
enum class EndpointState {
  kRemoved,   // no longer listed; gets no new attempts, but its running ones may still complete
  kDraining,  // listed, but gets no new attempts
  kReady
};

// How an endpoint list is applied to the endpoints that are already known.
enum class ListKind {
  kFull,    // replaces them; endpoints that it does not name are removed
  kFailed,  // a poll of the list failed; the list has no entries, and nothing changes
  kCached,  // like kFull, but stored at an earlier time, so it may be outdated
  kDelta    // changes only the endpoints that it names
};

// How an attempt ended.
enum class AttemptStatus {
  kServed,         // the complete answer was received
  kError,          // the endpoint answered with an error
  kFull,           // the endpoint rejected it because it lacked capacity or the prompt's state
  kTimeout,        // not complete at its deadline
  kConnectFailed,  // no connection could be made, and nothing was sent
  kReset,          // the connection broke after the request, or a part of it, was sent
  kCancelled,      // cancelled because of a CancelAttempt
  kNeverSent,      // the dispatcher did not send it
  kRead            // the reader processed the prompt and keeps its state (KV cache) for a writer
};

// What the end of an attempt shows beyond its status. Each comment names the statuses with which it is set.
enum class AttemptEvidence {
  kNone,
  kStateNotFound,    // kFull: the writer found no prompt state to fetch
  kEndpointRunning,  // kError, kReset: a response had begun, so the state was fetched and the endpoint runs.
                     // kConnectFailed: the connection had been made, or its failure is not the endpoint's
};

// One endpoint as service discovery describes it.
struct EndpointInfo {
  EndpointId endpoint;
  std::string zone;
  std::string kind;  // name of an EndpointKind of the settings; endpoints of unknown kinds are ignored
  int cell{};        // endpoints of one zone and cell share a fast network
  EndpointState state{};
  double weight{};  // relative capacity, see Settings::weight_meaning; 0 or less counts as 1
  Time started{};   // start time of its process, zero if long ago; a changed value means that it restarted
};

// The list of endpoints, or a change to it.
struct EndpointList {
  ListKind kind{};
  std::vector<EndpointInfo> entries;
};

// A request was received. The router gives it exactly one final answer (an attempt that is served, Reject or
// Fail), by client_deadline if timers are delivered on time. A request with the id of one that is still open
// is ignored. A request of an unknown class is answered with Fail at once.
struct Request {
  RequestId id;
  std::string request_class;            // name of a RequestClass of the settings
  std::string tenant;                   // name of a Tenant of the settings; others have no quota
  std::uint64_t session{};              // hash that identifies its conversation; zero if none
  std::uint64_t shared_prefix{};        // hash that identifies a prompt prefix of many sessions; zero if none
  int prompt_tokens{};                  // the complete prompt ...
  int prefix_tokens{};                  // ... and its part that is the shared prefix
  int max_tokens{};                     // upper bound of the answer's length
  Time client_deadline{};               // by which it must be answered
  std::optional<Duration> length_hint;  // expected answer tokens times the class's token objective
  bool client_retry{};                  // the client marks it as a retry (Settings::clients_mark_retries)
  bool resubmitted{};                   // the client continues an answer whose stream broke or was migrated
};

// An endpoint's report of its load; fields that it does not report are empty.
struct LoadReport {
  std::optional<double> in_flight;          // requests that it has received and not answered yet
  std::optional<double> memory_share;       // used part of its prefix cache, 0 to 1
  std::optional<double> prompt_kilotokens;  // prompt tokens that wait to be processed, in thousands
};

// An attempt ended. There is exactly one of these events for each StartAttempt.
struct AttemptCompleted {
  RequestId request;
  EndpointId endpoint;
  int attempt{};  // its number; see StartAttempt
  AttemptStatus status{};
  Duration elapsed{};          // since the attempt was sent
  bool finished{};             // the request got its final answer with this result or before
  int cached_prompt_tokens{};  // with kRead and kServed: prompt tokens that the endpoint had cached
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

// What a writer answered to a ReserveSlot action.
enum class ReservationOutcome { kReserved, kDenied };

// The result of a ReserveSlot action.
struct ReservationResult {
  RequestId request;
  EndpointId endpoint;
  ReservationOutcome outcome = ReservationOutcome::kDenied;
};

// The client closed its connection, so the request no longer needs an answer.
struct ClientGone {
  RequestId request;
};

// A timer set with SetTimer is due.
struct TimerExpired {
  std::uint64_t tag{};
};

// Whether operators allow an endpoint to serve requests. This takes precedence over every endpoint list: a
// drained endpoint gets no new attempts, even if it has left the list and returned.
enum class AdministrativeState { kInService, kDrained };

// Operators drain an endpoint or return it to service. Repeating the event changes nothing.
struct AdministrativeDrain {
  EndpointId endpoint;
  AdministrativeState state{};
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
    Time returned_at{};       // when operators last returned it to service; zero if never
  };
  std::array<MovingAverage, 3> starts;  // microseconds per token of start work, by Role
  MovingAverage remote_starts;          // the same for states fetched from another cell
  std::array<int, 3> served{};          // numbers of results in the last seconds, by Role
  Time since{};                         // when the counting of these results began
  std::vector<EndpointHistory> endpoints;
};

// During a hot restart, the other process sent a request to this endpoint. Both processes share the
// slow-start budget.
struct PeerForwarded {
  EndpointId endpoint;
};

// New settings for all requests from now on. Each open request keeps the settings under which it was
// admitted. The new settings must be valid (settings/check.hpp).
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
};

using Event = std::variant<EndpointList, Request, AttemptCompleted, FirstToken, ReservationResult, ClientGone,
                           TimerExpired, AdministrativeDrain, LearnedState, PeerForwarded, SettingsChanged>;

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_EVENTS_HPP_
