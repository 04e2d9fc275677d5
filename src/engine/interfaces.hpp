/// The engine's interfaces to other modules: the types of a request's attempts, and the abstract classes that
/// the engine calls (frontends, the upstream client, observers).
///
/// Everything here runs on the event loop thread. The engine owns none of the implementations; each must
/// outlive it. Unless an interface says otherwise, an implementation must not call the engine back from
/// inside a call, but only from a later turn of the event loop.
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

/// Immutable settings, shared by everything that still uses them.
using SettingsSnapshot = std::shared_ptr<const routing::Settings>;

/// The HTTP request that is forwarded to an endpoint. The engine forwards it without parsing it.
struct UpstreamRequest {
  RequestId id;
  std::string method, target;
  std::string headers;  ///< complete header lines, each with its CRLF
  std::string body;
};

/// Identifies an attempt by its request's handle and its number. Attempts of a request are numbered from 0 in
/// the order of their start.
struct AttemptId {
  SlotId request;
  int number = 0;
  auto operator<=>(const AttemptId&) const = default;
};

/// What ended an attempt. Used only by the request log: decisions are based on AttemptResult's other members.
enum class AttemptEndReason {
  kUnspecified,
  kResponseComplete,
  kInvalidRequest,       ///< the endpoint rejected the request as invalid
  kNoConnectionAllowed,  ///< a connection limit was reached, or the endpoint is unknown
  kConnectTimeout,
  kConnectRefused,    ///< the operating system reported an error while connecting
  kEndpointChanged,   ///< the endpoint was drained or moved while the connection was being established
  kConnectionClosed,  ///< the endpoint or the network closed the established connection
  kEarlyResponse,     ///< bytes were received before the request was written
  kMalformedResponse,
  kNoTimeLeft,  ///< less than 1 ms was left, the smallest time that a request can state
  kDeadline,
  kCancelledByRouter,
  kClientDisconnected,
  kStreamIdle,
  kStreamMigrated,
  kAlreadyAnswered,
  kNotStarted,  ///< the request was answered, streaming, out of attempts or past its deadline already
};

/// How an attempt ended, as observed by the upstream client.
struct AttemptResult {
  AttemptStatus status{};
  int cached_prompt_tokens = 0;         ///< as in routing::AttemptCompleted
  routing::AttemptEvidence evidence{};  ///< as in routing::AttemptCompleted
  routing::LoadReport report;
  bool invalid_request = false;  ///< no endpoint can process the request as it is
  AttemptEndReason reason{};
  /// The dispatcher ended the attempt, and nothing has been received from the endpoint since the request was
  /// written: the endpoint may not notice the end.
  bool is_endpoint_silent = false;
};

/// Reads of a request that have ended here, but may still leave prompt state at their readers.
struct LateReads {
  /// When reads whose connections broke can no longer leave state. Zero if there are none.
  Time until{};
  /// When reads that the dispatcher ended at silent readers can no longer leave state. Does not apply if
  /// `silent_reader` turns out to be reachable.
  Time silent_until{};
  /// A reader that may not have noticed that its attempt was ended. Empty if there is none.
  EndpointId silent_reader;

  /// Returns whether any of the reads may still leave state at `now`.
  [[nodiscard]] bool may_leave_state(Time now) const { return now < until || now < silent_until; }
};

/// Whether a connection has been used for an earlier exchange.
enum class ConnectionUse { kNew, kReused };

/// An endpoint's confirmation that it has released a request's reservations.
struct ReleaseConfirmation {
  EndpointId endpoint;  ///< the endpoint that answered
  int calls = 0;        ///< release calls made so far
  Duration elapsed{};   ///< time since the first of these calls
};

/// Why a request failed. The error does not tell the client whether the request has run.
enum class Failure {
  kDeadlineExceeded,
  kUpstream,
  kInvalidRequest,  ///< endpoints can't process the request as it is
};

/// Receives the responses; implemented by the frontends. `client` is the frontend's own handle of the client.
/// A request gets exactly one final call, which is finish_stream(), abort_stream(), reject() or fail(),
/// unless its client disconnects first. A call that detects the disconnect may call
/// Engine::on_client_disconnected() from inside.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  /// Starts a streamed response, right before its first event. Only finish_stream() or abort_stream() may end
  /// the response from then on.
  virtual void start_stream(SlotId client) = 0;
  /// Writes complete server-sent events. Returns false if the client's buffer is full; the frontend then
  /// calls Engine::resume_stream() once the buffer has capacity again.
  [[nodiscard]] virtual bool write_events(SlotId client, std::string_view events) = 0;
  /// Ends a stream whose response is complete.
  virtual void finish_stream(SlotId client) = 0;
  /// Ends an incomplete stream such that the client detects that it is incomplete.
  virtual void abort_stream(SlotId client) = 0;
  /// Rejects a request of which nothing has run. The client may retry it, after `retry_after` if that is set.
  virtual void reject(SlotId client, std::optional<Duration> retry_after) = 0;
  /// Ends a request that has failed. It may or may not have run.
  virtual void fail(SlotId client, Failure failure) = 0;
  /// Returns whether the client is still connected. Called right before an attempt is written, so that a
  /// disconnect may be detected here before it is reported.
  [[nodiscard]] virtual bool is_client_connected(SlotId) { return true; }
};

/// The client of the endpoints: manages connections, sends requests and releases reservations. Never calls
/// the engine back from inside a call, except for Engine::is_still_needed() and Engine::on_attempt_written().
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  /// Forwards a request to an endpoint. A new connection that is not established by `connect_by` has failed;
  /// zero means the usual connect timeout.
  virtual void start_attempt(AttemptId attempt, const EndpointId& endpoint,
                             std::shared_ptr<const UpstreamRequest> message, Time deadline,
                             Time connect_by) = 0;
  /// Ends an attempt and reports nothing more of it. Returns false if the endpoint can't have received the
  /// complete request.
  [[nodiscard]] virtual bool cancel_attempt(AttemptId attempt) = 0;
  /// Stop and continue reading an attempt's response, for backpressure.
  virtual void pause_reading(AttemptId attempt) = 0;
  virtual void resume_reading(AttemptId attempt) = 0;
  /// Requests the reservation of a slot at a writer. The answer is passed to Engine::on_reservation_result().
  virtual void reserve_slot(AttemptId attempt, const EndpointId& endpoint, const RequestId& id) = 0;
  /// Returns whether an active attempt's request was written and nothing has been received from its endpoint
  /// since.
  [[nodiscard]] virtual bool is_endpoint_silent(AttemptId attempt) = 0;
  /// Releases everything that endpoints hold for a request, except prompt state that a writer is about to
  /// fetch for an attempt that it has received. Each confirmation is passed to
  /// Engine::on_reservation_released(). The release is repeated for as long as `late_reads` may leave state.
  /// Writing the request's next attempt ends the release calls, because they must not remove the state of
  /// that attempt.
  virtual void release_reservation(const RequestId& id, const LateReads& late_reads) = 0;
  /// Ends the release calls of a request, because an attempt left prompt state that is needed.
  virtual void cancel_release(const RequestId& id) = 0;
  /// Returns whether bytes of an active attempt's response have arrived that were not read yet.
  [[nodiscard]] virtual bool has_unread_response(AttemptId attempt) = 0;
  /// Returns whether an active attempt has an established connection. An attempt without one can't have left
  /// any state.
  [[nodiscard]] virtual bool has_connection(AttemptId attempt) = 0;
};

/// Why a request got no first token.
enum class NotServedReason { kRejected, kFailed };

/// Whether a first token arrived within the latency objective of its request's class.
enum class FirstTokenTiming { kInTime, kLate };

/// Observes how requests are served, for the degradation levels.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void on_first_token(const std::string& request_class, FirstTokenTiming timing) = 0;
  /// Called when the router rejects or fails a request that has got no first token.
  virtual void on_request_not_served(const std::string& request_class, NotServedReason reason) = 0;
};

/// Whether a request is in progress. The two processes of a hot restart notify each other of this.
enum class RequestProgress { kInProgress, kCompleted };

/// Observes the events of which the other process of a hot restart must be notified.
class HotRestartObserver {
 public:
  virtual ~HotRestartObserver() = default;
  virtual void on_request_progress(const RequestId& id, RequestProgress progress) = 0;
  virtual void on_attempt_started(const EndpointId& endpoint) = 0;
};

/// A running stream of a frontend's client that can be handed over to the other process of a hot restart.
struct RunningStream {
  SlotId request, client;
  int attempt = 0;
  RequestId id;
  EndpointId endpoint;
  Time silent_since{};  ///< since when the stream's next event is awaited
};

/// A stream that the other process of a hot restart has handed over.
struct AdoptedStream {
  RequestId id;
  EndpointId endpoint;
  Time silent_since{};  ///< as in RunningStream, so that each process does not wait anew
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_INTERFACES_HPP_
