/// The engine: passes what happens to the router as events, executes the router's actions, and owns every
/// request with its timers. Frontends and the upstream client are reached through the interfaces of
/// interfaces.hpp; no wire format is known here.
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

/// One per process, used on the event loop thread only. It calls sinks, the upstream client and observers
/// from inside its own functions and from timers. Handles and ids of requests that have ended are ignored.
class Engine {
 public:
  /// The upstream client and the timers have to outlive the engine. Throws std::invalid_argument naming the
  /// setting that the router does not accept.
  Engine(SettingsSnapshot settings, std::uint64_t seed, UpstreamClient& upstream, TimerQueue& timers,
         Clock clock, Log log);
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // ---- called by the frontends ----

  /// Takes a request, whose id must not be in progress. The sink, which has to outlive it, may get its final
  /// call before this returns: see is_unanswered().
  SlotId submit(ResponseSink& sink, SlotId client, const routing::Request& request,
                std::shared_ptr<const UpstreamRequest> message);
  /// The client of a request has disconnected; its sink is not called for it any more.
  void on_client_disconnected(SlotId request);
  /// The client takes events again, after ResponseSink::write_events() returned false.
  void resume_stream(SlotId request);
  /// Whether a request of this id is in progress here or at the other process of a hot restart.
  [[nodiscard]] bool is_in_progress(const RequestId& id) const;
  /// Whether something is still owed to the request's client.
  [[nodiscard]] bool is_unanswered(SlotId request);

  // ---- settings, endpoints and operators ----

  /// Settings for the requests from now on; the router must accept them.
  void apply_settings(SettingsSnapshot settings);
  void update_endpoints(const routing::EndpointList& list);
  /// `callback` is called when the router needs the complete endpoint list again.
  void set_subscribe_callback(std::function<void()> callback);
  /// Whether any list has named this endpoint, now or recently.
  [[nodiscard]] bool is_known_endpoint(const EndpointId& endpoint) const;
  [[nodiscard]] std::size_t endpoint_count() const { return endpoints_.size(); }
  /// An endpoint that operators drained gets nothing new, whatever the lists say.
  void set_administrative_state(const EndpointId& endpoint, AdministrativeState state);

  // ---- observers: optional, not owned ----

  void set_hot_restart_observer(HotRestartObserver* observer) { context_.hot_restart_observer = observer; }
  void set_request_observer(RequestObserver* observer) { context_.request_observer = observer; }
  void set_request_log(RequestLog log) { context_.request_log = std::move(log); }

  // ---- hot restart: two processes, of which one takes over from the other ----

  [[nodiscard]] routing::LearnedState learned_state() const { return router_.learned_state(); }
  /// Takes over what the router of the other process has learned.
  void restore_learned_state(const routing::LearnedState& learned_state);
  [[nodiscard]] std::vector<RequestId> open_request_ids() const { return requests_.ids(); }
  /// The streams of a frontend that can be handed over. Each goes on at the other process with adopt_stream()
  /// there, after release_stream() here.
  [[nodiscard]] std::vector<RunningStream> running_streams(const ResponseSink& sink);
  /// The stream continues at the other process: nothing more is sent to its client from here.
  void release_stream(SlotId request);
  /// Continues a stream of the other process. Its attempt has number 0.
  [[nodiscard]] SlotId adopt_stream(ResponseSink& sink, SlotId client, const RequestId& id,
                                    const EndpointId& endpoint);
  /// What the other process reports of its own requests and attempts.
  void on_peer_request_progress(const RequestId& id, RequestProgress progress);
  void on_peer_attempt_started(const EndpointId& endpoint);
  /// The other process has ended: its requests are not in progress any more.
  void on_peer_disconnected() { peer_request_ids_.clear(); }

  // ---- called by the upstream client ----

  /// Complete server-sent events of an attempt's response; the first call starts the client's stream.
  void on_events(AttemptId attempt, std::string_view events);
  /// The one end of an attempt; ignored after UpstreamClient::cancel_attempt().
  void on_attempt_completed(AttemptId attempt, const AttemptResult& result);
  /// The answer to UpstreamClient::reserve_slot().
  void on_reservation_result(AttemptId attempt, const EndpointId& endpoint, ReservationOutcome outcome);
  /// To be called right before an attempt's first byte is written. An attempt that is not needed any more
  /// completes as kNeverSent.
  [[nodiscard]] bool is_still_needed(AttemptId attempt);
  /// An attempt's request was handed to its connection. Says nothing of whether it arrived.
  void on_attempt_written(AttemptId attempt, ConnectionUse use);
  /// A replica has confirmed UpstreamClient::release_reservation().
  void on_reservation_released(const RequestId& id, const ReleaseConfirmation& confirmation);

  // ---- counts ----

  /// Requests whose clients still wait for something.
  [[nodiscard]] std::size_t unanswered_count() const { return requests_.unanswered_count(); }
  /// Requests that are not complete: unanswered, or with an attempt or a release still to come.
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
