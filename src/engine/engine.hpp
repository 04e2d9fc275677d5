/// The engine: passes events to the router, executes the router's actions, and owns every request with its
/// timers. It calls the frontends and the upstream client through the interfaces in interfaces.hpp and knows
/// no wire format.
#ifndef DISPATCHER_ENGINE_ENGINE_HPP_
#define DISPATCHER_ENGINE_ENGINE_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "engine/action_executor.hpp"
#include "engine/attempt_manager.hpp"
#include "engine/endpoint_roles.hpp"
#include "engine/engine_context.hpp"
#include "engine/interfaces.hpp"
#include "engine/request_log.hpp"
#include "engine/request_table.hpp"
#include "engine/reservation_cleanup.hpp"
#include "engine/router_runner.hpp"
#include "engine/stream_handover.hpp"
#include "engine/stream_relay.hpp"
#include "engine/timer_queue.hpp"
#include "routing/router.hpp"

namespace dispatcher::engine {

/// Runs all requests of a process; used on the event loop thread only. Calls sinks, the upstream client and
/// observers from inside its own functions and from timers. Ignores handles and ids of requests that have
/// ended.
class Engine {
 public:
  /// `upstream` and `timers` must outlive the engine. Throws std::invalid_argument that names the setting
  /// that the router does not accept.
  Engine(SettingsSnapshot settings, std::uint64_t seed, UpstreamClient& upstream, TimerQueue& timers,
         Clock clock, Log log);
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // ---- called by the frontends ----

  /// Accepts a request and returns its handle. The request's id must not be in progress. `sink` must outlive
  /// the request, and may get its final call before this function returns: see is_unanswered().
  SlotId submit(ResponseSink& sink, SlotId client, const routing::Request& request,
                std::shared_ptr<const UpstreamRequest> message);
  /// Must be called when the client of a request has disconnected. The sink is no longer called for it.
  void on_client_disconnected(SlotId request);
  /// Must be called when the client can take events again, after ResponseSink::write_events() returned false.
  void resume_stream(SlotId request);
  /// Returns whether a request with this id is in progress here or in the other process of a hot restart.
  [[nodiscard]] bool is_in_progress(const RequestId& id) const;
  /// Returns whether the request's client still waits for its answer or a part of it.
  [[nodiscard]] bool is_unanswered(SlotId request);

  // ---- settings, endpoints and operators ----

  /// Applies settings to all requests from now on. They must be valid for the router.
  void apply_settings(SettingsSnapshot settings);
  void update_endpoints(const routing::EndpointList& list);
  /// Sets the callback that is called when the router needs the complete endpoint list again.
  void set_subscribe_callback(std::function<void()> callback);
  /// Returns whether the endpoint is listed or was removed recently.
  [[nodiscard]] bool is_known_endpoint(const EndpointId& endpoint) const;
  [[nodiscard]] std::size_t endpoint_count() const { return endpoints_.size(); }
  /// Drains an endpoint on behalf of the operators, or returns it to service. A drained endpoint gets nothing
  /// new, whatever the endpoint lists say.
  void set_administrative_state(const EndpointId& endpoint, AdministrativeState state);

  // ---- observers: optional, not owned ----

  void set_hot_restart_observer(HotRestartObserver* observer) { context_.hot_restart_observer = observer; }
  void set_request_observer(RequestObserver* observer) { context_.request_observer = observer; }
  void set_request_log(RequestLog log) { context_.request_log = std::move(log); }

  // ---- hot restart: two processes, of which one takes over from the other ----

  [[nodiscard]] routing::LearnedState learned_state() const { return router_.learned_state(); }
  /// Passes what the other process's router has learned to this one.
  void restore_learned_state(const routing::LearnedState& learned_state);
  [[nodiscard]] std::vector<RequestId> open_request_ids() const { return requests_.ids(); }
  /// Returns the streams of a frontend that can be handed over. To hand one over, call release_stream() here
  /// and then adopt_stream() in the other process.
  [[nodiscard]] std::vector<RunningStream> running_streams(const ResponseSink& sink);
  /// Ends a stream here that continues in the other process: this engine sends nothing more to its client.
  void release_stream(SlotId request);
  /// Continues a stream of the other process. Its attempt gets the number 0.
  [[nodiscard]] SlotId adopt_stream(ResponseSink& sink, SlotId client, const AdoptedStream& stream);
  /// Called with what the other process reports about its own requests and attempts.
  void on_peer_request_progress(const RequestId& id, RequestProgress progress);
  void on_peer_attempt_started(const EndpointId& endpoint);
  /// Must be called when the other process has ended. Its requests are no longer in progress then.
  void on_peer_disconnected() { peer_request_ids_.clear(); }

  // ---- called by the upstream client ----

  /// Passes on complete server-sent events of an attempt's response. The first call starts the client's
  /// stream.
  void on_events(AttemptId attempt, std::string_view events);
  /// Called once when an attempt has ended. Ignored after UpstreamClient::cancel_attempt().
  void on_attempt_completed(AttemptId attempt, const AttemptResult& result);
  /// Called with the answer to UpstreamClient::reserve_slot().
  void on_reservation_result(AttemptId attempt, const EndpointId& endpoint, ReservationOutcome outcome);
  /// Returns whether an attempt should still be sent. Must be called right before its first byte is written;
  /// an attempt that is no longer needed completes as kNeverSent.
  [[nodiscard]] bool is_still_needed(AttemptId attempt);
  /// Called when an attempt's request was handed to its connection, which does not mean that it arrived.
  void on_attempt_written(AttemptId attempt, ConnectionUse use);
  /// Called when an endpoint has confirmed UpstreamClient::release_reservation().
  void on_reservation_released(const RequestId& id, const ReleaseConfirmation& confirmation);

  // ---- counts ----

  /// Returns the number of requests whose clients still wait for an answer or a part of it.
  [[nodiscard]] std::size_t unanswered_count() const { return requests_.unanswered_count(); }
  /// Returns the number of requests that are unanswered, have an active attempt or have a scheduled release.
  [[nodiscard]] std::size_t open_request_count() const { return requests_.size(); }

 private:
  void start_overdue_timer(SlotId slot);
  void on_overdue(SlotId slot);

  SettingsSnapshot settings_;
  EngineContext context_;
  EndpointRoles endpoints_;
  RequestTable requests_;
  RouterRunner router_;
  ReservationCleanup cleanup_;
  AttemptManager attempts_;
  StreamRelay relay_;
  StreamHandover handover_;
  ActionExecutor executor_;
  std::unordered_set<RequestId> peer_request_ids_;  // in progress at the other process of a hot restart
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_ENGINE_HPP_
