/// The engine's interfaces to its neighbours: the types of a request's attempts, and the abstract classes
/// that the engine calls (frontends, the upstream client, observers).
///
/// Everything here runs on the one event loop thread. The engine owns none of the implementations; each has
/// to outlive it. Unless an interface says otherwise, an implementation must not call the engine back from
/// inside a call: it does so from a later turn of the event loop.
#ifndef DISPATCHER_ENGINE_INTERFACES_HPP_
#define DISPATCHER_ENGINE_INTERFACES_HPP_

#include <compare>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "engine/timer_queue.hpp"
#include "net/slot_table.hpp"
#include "routing/router.hpp"

namespace dispatcher::engine {

using net::SlotId;
using routing::AdministrativeState;
using routing::AttemptStatus;
using routing::EndpointId;
using routing::RequestId;
using routing::ReservationOutcome;

/// Writes one line to the operators' log.
using Log = std::function<void(std::string_view)>;

/// Immutable settings, shared by everything that still works under them.
using SettingsSnapshot = std::shared_ptr<const routing::Settings>;

/// The HTTP request that is forwarded to a replica. The engine forwards it without parsing it.
struct UpstreamRequest {
  RequestId id;
  std::string method, target;
  std::string headers;  ///< complete header lines, each with its CRLF
  std::string body;
};

/// Names one attempt: the request's handle and the attempt's number, from 0 in the order of their start.
struct AttemptId {
  SlotId request;
  int number = 0;
  auto operator<=>(const AttemptId&) const = default;
};

/// What ended an attempt, for the log of requests. Decisions follow from AttemptResult's other members.
enum class AttemptEndReason {
  kUnspecified,
  kResponseComplete,
  kInvalidRequest,       ///< the replica rejects the request as it is
  kNoConnectionAllowed,  ///< a limit is reached, or the endpoint is unknown
  kConnectTimeout,
  kConnectRefused,    ///< the operating system reported an error
  kEndpointChanged,   ///< drained or moved while the connection was being established
  kConnectionClosed,  ///< by the replica or the network, once it was established
  kEarlyResponse,     ///< bytes came before the request was written
  kMalformedResponse,
  kNoTimeLeft,  ///< less than a replica can be told
  kDeadline,
  kCancelledByRouter,
  kClientDisconnected,
  kStreamIdle,
  kStreamMigrated,
  kAlreadyAnswered,
  kNotStarted,  ///< answered, out of attempts or past its deadline before it could start
};

/// How an attempt ended, as the upstream client saw it.
struct AttemptResult {
  AttemptStatus status{};
  int cached_prompt_tokens = 0;         ///< as in routing::AttemptCompleted
  routing::AttemptEvidence evidence{};  ///< likewise
  routing::LoadReport report;
  bool invalid_request = false;  ///< the replica can't process the request as it is, nor could another
  AttemptEndReason reason{};
  /// Ended from this side, and nothing has come from the endpoint since the request was written: it may not
  /// notice the end.
  bool is_endpoint_silent = false;
};

/// Reads of a request that have ended here and may leave a state at their readers all the same.
struct LateReads {
  Time until{};              ///< the connection broke: up to then; zero: there are none
  Time silent_until{};       ///< likewise, unless `silent_reader` proves to be reachable
  EndpointId silent_reader;  ///< a reader that did not notice, perhaps, that its attempt was ended

  [[nodiscard]] bool may_leave_state(Time now) const { return now < until || now < silent_until; }
};

/// Whether a connection has carried an exchange before.
enum class ConnectionUse { kNew, kReused };

/// The answer to a release of a request's reservations.
struct ReleaseConfirmation {
  EndpointId endpoint;  ///< that answered
  int calls = 0;        ///< made so far
  Duration elapsed{};   ///< since the first of them
};

/// Why a client gets an error that says nothing of whether its request has run.
enum class Failure {
  kDeadlineExceeded,
  kUpstream,
  kInvalidRequest,  ///< replicas can't process the request as it is
};

/// Where responses go: implemented by the frontends. `client` is the frontend's own handle of the client. A
/// request gets one final call, finish_stream(), abort_stream(), reject() or fail(), unless its client
/// disconnects first; a call that detects the disconnect may call Engine::on_client_disconnected() from
/// inside.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  /// The first event is about to come; from now on only finish_stream() or abort_stream() may end the
  /// response.
  virtual void start_stream(SlotId client) = 0;
  /// Writes complete server-sent events. False: the client's buffer is full, and the frontend calls
  /// Engine::resume_stream() once it has capacity again.
  [[nodiscard]] virtual bool write_events(SlotId client, std::string_view events) = 0;
  /// The response is complete.
  virtual void finish_stream(SlotId client) = 0;
  /// Ends an incomplete stream, in a way that lets the client detect it.
  virtual void abort_stream(SlotId client) = 0;
  /// Nothing of the request has run: the client may retry, after `retry_after` where it is given.
  virtual void reject(SlotId client, std::optional<Duration> retry_after) = 0;
  /// The request has failed; it may or may not have run.
  virtual void fail(SlotId client, Failure why) = 0;
  /// Called right before an attempt is written: a disconnect may be detected here before it is reported.
  [[nodiscard]] virtual bool is_client_connected(SlotId) { return true; }
};

/// The client of the replicas: connections, requests and the release of reservations. It never calls the
/// engine back from inside a call, except for Engine::is_still_needed() and Engine::on_attempt_written().
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  /// Forwards a request to an endpoint. `connect_by`: a new connection that is not established by then has
  /// failed; zero means the usual connect timeout.
  virtual void start_attempt(AttemptId attempt, const EndpointId& endpoint,
                             std::shared_ptr<const UpstreamRequest> message, Time deadline,
                             Time connect_by) = 0;
  /// Ends an attempt, of which nothing is reported any more. False: the replica can't have received the
  /// complete request.
  [[nodiscard]] virtual bool cancel_attempt(AttemptId attempt) = 0;
  /// Backpressure: stops, and goes on with, reading an attempt's response.
  virtual void pause_reading(AttemptId attempt) = 0;
  virtual void resume_reading(AttemptId attempt) = 0;
  /// Requests a reserved slot from a writer; answered by Engine::on_reservation_result().
  virtual void reserve_slot(AttemptId attempt, const EndpointId& endpoint, const RequestId& id) = 0;
  /// Whether nothing has come from an active attempt's endpoint since its request was written.
  [[nodiscard]] virtual bool is_endpoint_silent(AttemptId attempt) = 0;
  /// Releases all that replicas hold for a request, except a state for which a writer that has received an
  /// attempt waits; answered by Engine::on_reservation_released(). Repeated for as long as late reads may
  /// leave a state. The next attempt of the request that is written ends the release calls: they must not
  /// take its state.
  virtual void release_reservation(const RequestId& id, const LateReads& late_reads) = 0;
  /// Ends the release calls of a request: a state was left that is needed.
  virtual void cancel_release(const RequestId& id) = 0;
  /// Whether an active attempt has an established connection. One without can't have left any state.
  [[nodiscard]] virtual bool has_connection(AttemptId attempt) = 0;
};

/// Why a request got no first token.
enum class NotServedReason { kRejected, kFailed };

/// Whether a first token came within the latency objective of its request's class.
enum class FirstTokenTiming { kInTime, kLate };

/// Notified of how requests are served, for the degradation levels.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void on_first_token(const std::string& request_class, FirstTokenTiming timing) = 0;
  /// The request ended without a first token.
  virtual void on_request_not_served(const std::string& request_class, NotServedReason reason) = 0;
};

/// Whether a request is in progress, as the two processes of a hot restart notify each other.
enum class RequestProgress { kInProgress, kCompleted };

/// Notified of what the other process of a hot restart has to know.
class HotRestartObserver {
 public:
  virtual ~HotRestartObserver() = default;
  virtual void on_request_progress(const RequestId& id, RequestProgress progress) = 0;
  virtual void on_attempt_started(const EndpointId& endpoint) = 0;
};

/// A stream that runs for a frontend's client, as it is handed over to the other process of a hot restart.
struct RunningStream {
  SlotId request, client;
  int attempt = 0;
  RequestId id;
  EndpointId endpoint;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_INTERFACES_HPP_
