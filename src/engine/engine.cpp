#include "engine/engine.hpp"

#include <utility>

#include "routing/request_classes.hpp"

namespace dispatcher::engine {

namespace {

/// Returns the time from a request's arrival within which its first token should come. Zero if the settings
/// don't define the request's class.
Duration latency_objective(const routing::Settings& settings, const routing::Request& request) {
  const routing::RequestClass* known = routing::find_class(settings, request.request_class);
  if (known == nullptr) return {};
  return known->latency_objective + known->latency_objective_per_1000_tokens * request.prompt_tokens / 1000;
}

}  // namespace

Engine::Engine(SettingsSnapshot settings, std::uint64_t seed, UpstreamClient& upstream, TimerQueue& timers,
               Clock clock, Log log)
    : settings_(std::move(settings)),
      context_{upstream, timers, std::move(clock), std::move(log), {}},
      requests_(context_),
      router_(*settings_, seed, context_.clock),
      cleanup_(context_, requests_),
      attempts_(context_, requests_, router_, cleanup_, endpoints_),
      relay_(context_, requests_, router_, attempts_),
      handover_(context_, requests_, router_, relay_),
      executor_(context_, requests_, router_, attempts_, cleanup_) {
  router_.set_action_handler([this](const routing::Action& action) { executor_.execute(action); });
}

// ---- frontends ----

SlotId Engine::submit(ResponseSink& sink, SlotId client, const routing::Request& request,
                      std::shared_ptr<const UpstreamRequest> message) {
  const SlotId slot = requests_.add(request.id);
  ActiveRequest& active = *requests_.find(slot);
  active.sink = &sink;
  active.client = client;
  active.request_class = request.request_class;
  active.settings = settings_;
  active.message = std::move(message);
  active.deadline = request.client_deadline;
  active.first_token_objective = context_.clock() + latency_objective(*settings_, request);
  if (context_.hot_restart_observer != nullptr)
    context_.hot_restart_observer->on_request_progress(request.id, RequestProgress::kInProgress);
  context_.request_log.log_received(request, context_.clock());
  start_overdue_timer(slot);
  router_.handle(request);
  return slot;
}

// The router answers each request by its deadline. If it fails to, this timer ensures that the client still
// gets an answer.
void Engine::start_overdue_timer(SlotId slot) {
  ActiveRequest& request = *requests_.find(slot);
  request.overdue_timer =
      context_.timers.add(request.deadline + settings_->answer_slack, [this, slot] { on_overdue(slot); });
}

void Engine::on_overdue(SlotId slot) {
  ActiveRequest* request = requests_.find(slot);
  if (request == nullptr || request->is_answered) return;
  context_.log("request " + request->id.value() + " overdue: failed by the engine");
  context_.request_log.log_answered(request->id, "overdue");
  request->sink->fail(request->client, Failure::kDeadlineExceeded);
  requests_.mark_answered(*request);
  router_.handle(routing::ClientGone{request->id});
  requests_.remove_if_complete(slot);
}

void Engine::on_client_disconnected(SlotId slot) {
  ActiveRequest* request = requests_.find(slot);
  if (request == nullptr || request->is_answered) return;
  requests_.mark_answered(*request);
  const std::optional<int> streaming_attempt = request->streaming_attempt;
  const RequestId id = request->id;
  context_.request_log.log_answered(id, "client-gone");
  attempts_.terminate_unconnected(slot);
  router_.handle(routing::ClientGone{id});
  // The router does not cancel a running stream, so it is cancelled here once its client has disconnected.
  if (streaming_attempt)
    attempts_.terminate({slot, *streaming_attempt}, AttemptStatus::kCancelled,
                        AttemptEndReason::kClientDisconnected);
  cleanup_.schedule_if_needed(slot, ReservationCleanup::ScheduledRelease::kKeep);
  requests_.remove_if_complete(slot);
}

void Engine::resume_stream(SlotId slot) { relay_.resume(slot); }

bool Engine::is_in_progress(const RequestId& id) const {
  return requests_.contains(id) || peer_request_ids_.contains(id);
}

bool Engine::is_unanswered(SlotId slot) {
  const ActiveRequest* request = requests_.find(slot);
  return request != nullptr && !request->is_answered;
}

// ---- settings, endpoints and operators ----

void Engine::apply_settings(SettingsSnapshot settings) {
  settings_ = std::move(settings);
  router_.handle(routing::SettingsChanged{settings_});
}

void Engine::update_endpoints(const routing::EndpointList& list) {
  endpoints_.update(list, *settings_);
  router_.handle(list);
}

void Engine::set_subscribe_callback(std::function<void()> callback) {
  executor_.set_subscribe_callback(std::move(callback));
}

bool Engine::is_known_endpoint(const EndpointId& endpoint) const { return endpoints_.is_known(endpoint); }

void Engine::set_administrative_state(const EndpointId& endpoint, AdministrativeState state) {
  router_.handle(routing::AdministrativeDrain{endpoint, state});
}

// ---- hot restart ----

void Engine::restore_learned_state(const routing::LearnedState& learned_state) {
  router_.handle(learned_state);
}

std::vector<RunningStream> Engine::running_streams(const ResponseSink& sink) {
  return handover_.running_streams(sink);
}

void Engine::release_stream(SlotId slot) { handover_.release(slot); }

SlotId Engine::adopt_stream(ResponseSink& sink, SlotId client, const AdoptedStream& stream) {
  return handover_.adopt(sink, client, stream, settings_);
}

void Engine::on_peer_request_progress(const RequestId& id, RequestProgress progress) {
  if (progress == RequestProgress::kInProgress) {
    peer_request_ids_.insert(id);
  } else {
    peer_request_ids_.erase(id);
  }
}

void Engine::on_peer_attempt_started(const EndpointId& endpoint) {
  router_.handle(routing::PeerForwarded{endpoint});
}

// ---- the upstream client ----

void Engine::on_events(AttemptId id, std::string_view events) { relay_.on_events(id, events); }

void Engine::on_attempt_completed(AttemptId id, const AttemptResult& result) {
  // The attempt was no longer needed: its client has disconnected, and the frontend is about to report that.
  const bool was_not_needed = result.status == AttemptStatus::kNeverSent && !result.invalid_request;
  if (was_not_needed && requests_.find_active(id)) on_client_disconnected(id.request);
  if (requests_.find_active(id)) attempts_.complete(id, result);
}

void Engine::on_reservation_result(AttemptId id, const EndpointId& endpoint, ReservationOutcome outcome) {
  const ActiveAttempt active = requests_.find_active(id);
  if (!active) return;
  router_.handle(routing::ReservationResult{active.request->id, endpoint, outcome});
}

bool Engine::is_still_needed(AttemptId id) {
  const ActiveAttempt active = requests_.find_active(id);
  if (!active || active.request->is_answered) return false;
  return active.request->sink->is_client_connected(active.request->client);
}

void Engine::on_attempt_written(AttemptId id, ConnectionUse use) {
  const ActiveAttempt active = requests_.find_active(id);
  if (!active) return;
  context_.request_log.log_attempt_written(active.request->id, active.attempt->endpoint, id.number, use);
  active.request->reservations.on_attempt_written(context_.clock());
  cleanup_.schedule_if_needed(id.request, ReservationCleanup::ScheduledRelease::kKeep);
}

void Engine::on_reservation_released(const RequestId& id, const ReleaseConfirmation& confirmation) {
  context_.request_log.log_release_confirmed(id, confirmation);
  ActiveRequest* request = requests_.find(requests_.slot_of(id));
  if (request != nullptr) request->reservations.on_release_confirmed();
}

}  // namespace dispatcher::engine
