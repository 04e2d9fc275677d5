#include "model_dispatcher.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "invariants.hpp"
#include "transcript.hpp"

namespace dispatcher::routing::testing {
namespace {

using std::chrono::milliseconds;

std::vector<std::shared_ptr<const Settings>> share(std::vector<Settings> all) {
  std::vector<std::shared_ptr<const Settings>> shared;
  shared.reserve(all.size());
  for (Settings& settings : all) shared.push_back(std::make_shared<const Settings>(std::move(settings)));
  return shared;
}

bool proves_no_effect(AttemptStatus status) {
  return status == AttemptStatus::kFull || status == AttemptStatus::kConnectFailed ||
         status == AttemptStatus::kNeverSent || status == AttemptStatus::kRead;
}

// Returns whether the attempt reaches its endpoint when it is sent. One in five is written to a link that
// does not deliver it. All are delivered at once if the settings do not count delivery
// (reservation_expires_until_delivery), or if no timer can expire within the reservation limit.
bool arrives_at_once(const StartAttempt& start, const Settings& settings) {
  constexpr std::size_t kOneIn = 5;
  const Duration timer_interval = milliseconds(20) + settings.tick;
  if (!settings.reservation_expires_until_delivery || settings.reservation_limit < timer_interval)
    return true;
  return (start.request.value().size() + start.request.value().back() + start.endpoint.value().back()) %
             kOneIn !=
         0;
}

// Returns the status that an attempt ends with, instead of `status`, if it has not reached its endpoint.
AttemptStatus undelivered_status(AttemptStatus status) {
  switch (status) {
    case AttemptStatus::kTimeout:
    case AttemptStatus::kCancelled:
    case AttemptStatus::kConnectFailed:
    case AttemptStatus::kNeverSent:
      return status;
    default:
      return AttemptStatus::kReset;
  }
}

bool releases_prompt_state(const ModelAttempt& attempt, const AttemptOutcome& outcome) {
  if (outcome.status == AttemptStatus::kServed) return true;
  return outcome.evidence != AttemptEvidence::kNone && !attempt.is_at_reader;
}

}  // namespace

ModelDispatcher::ModelDispatcher(std::vector<Settings> settings, std::uint64_t seed)
    : settings_(share(std::move(settings))),
      router_(*settings_[0], seed),
      second_router_(*settings_[0], seed),
      tick_(std::max<Duration>(settings_[0]->tick, milliseconds(1))) {
  state_.settings = settings_[0];
}

void ModelDispatcher::add_to_transcript(const std::string& line) {
  transcript_.push_back(format_time(state_.now) + "  " + line);
}

void ModelDispatcher::handle(const Event& event) {
  const std::vector<Action> actions = router_.handle(state_.now, event);
  if (observer_) {
    observer_(state_.now, event, actions);
  } else {
    check_same_actions(event, actions);
  }
  for (const Action& action : actions) {
    std::visit([this](const auto& alternative) { apply(alternative); }, action);
  }
}

void ModelDispatcher::check_same_actions(const Event& event, const std::vector<Action>& actions) {
  constexpr const char* kRule = "the same events led to different actions";
  add_to_transcript(describe(event));
  const std::vector<Action> same = second_router_.handle(state_.now, event);
  require(actions.size() == same.size(), kRule);
  for (std::size_t i = 0; i < actions.size(); ++i) {
    const std::string description = describe(actions[i]);
    add_to_transcript("    " + description);
    require(description == describe(same[i]), kRule);
  }
}

// ---- the router's actions ----

void ModelDispatcher::apply(const StartAttempt& start) {
  check_start_attempt(state_, start);
  ModelRequest& request = state_.requests.at(start.request);
  const Role role = state_.endpoints.at(start.endpoint).role;
  const Time client_deadline = request.request.client_deadline;
  ModelAttempt attempt;
  attempt.endpoint = start.endpoint;
  attempt.is_at_reader = role == Role::kReader;
  attempt.requires_prompt_state = role == Role::kWriter && !state_.settings->writers_can_prefill;
  attempt.started_at = state_.now;
  attempt.connect_by = start.connect_by;
  attempt.deadline = start.deadline == Time{} ? client_deadline : std::min(start.deadline, client_deadline);
  attempt.is_delivered = arrives_at_once(start, *request.settings);
  request.attempts.push_back(attempt);
}

void ModelDispatcher::apply(const CancelAttempt& cancel) {
  check_cancel_attempt(state_, cancel);
  ModelRequest& request = state_.requests.at(cancel.request);
  ModelAttempt& attempt = request.attempts[static_cast<std::size_t>(cancel.attempt)];
  if (!attempt.is_active || attempt.has_first_token || attempt.cancellation_completes_at) return;
  attempt.cancellation_completes_at = state_.now + tick_;
}

void ModelDispatcher::apply(const Reject& reject) {
  check_reject(state_, reject);
  state_.requests.at(reject.request).has_final_answer = true;
}

void ModelDispatcher::apply(const Fail& fail) {
  check_fail(state_, fail);
  state_.requests.at(fail.request).has_final_answer = true;
}

void ModelDispatcher::apply(const MigrateStream& migrate) {
  check_migrate_stream(state_, migrate);
  ModelRequest& request = state_.requests.at(migrate.request);
  request.has_final_answer = true;
  for (ModelAttempt& attempt : request.attempts) {
    if (attempt.is_active) attempt.cancellation_completes_at = state_.now + tick_;
  }
}

void ModelDispatcher::apply(const ReserveSlot& reserve) { check_reserve_slot(state_, reserve); }

void ModelDispatcher::apply(const ReleaseReservation& release) {
  check_release_reservation(state_, release);
  ModelRequest& request = state_.requests.at(release.request);
  const bool is_being_fetched = std::ranges::any_of(request.attempts, [](const ModelAttempt& attempt) {
    return attempt.is_active && attempt.is_delivered && !attempt.is_at_reader;
  });
  request.is_release_pending = is_being_fetched;
  if (!is_being_fetched) request.prompt_state_at.reset();
}

void ModelDispatcher::apply(const SetTimer& timer) {
  check_set_timer(timer);
  state_.timers.emplace(round_up_to_tick(state_.now + std::max(timer.after, tick_)), timer.tag);
}

void ModelDispatcher::apply(const Subscribe&) { check_subscribe(state_); }

// ---- requests and attempts ----

const ModelRequest& ModelDispatcher::submit(const Request& request, const RequestClass& request_class) {
  ModelRequest entry;
  entry.request = request;
  entry.settings = state_.settings;
  entry.request_class = request_class;
  entry.prompt_state_idle_since = state_.now;
  const ModelRequest& submitted = state_.requests.emplace(request.id, std::move(entry)).first->second;
  handle(request);
  return submitted;
}

void ModelDispatcher::disconnect_client(const RequestId& id) {
  state_.requests.at(id).has_client_left = true;
  handle(ClientGone{id});
}

void ModelDispatcher::deliver_attempt(const RequestId& id, std::size_t attempt_number) {
  state_.requests.at(id).attempts[attempt_number].is_delivered = true;
}

void ModelDispatcher::send_first_token(const RequestId& id, std::size_t attempt_number) {
  ModelRequest& request = state_.requests.at(id);
  ModelAttempt& attempt = request.attempts[attempt_number];
  attempt.has_first_token = true;
  attempt.cancellation_completes_at.reset();
  request.has_first_token = true;
  request.prompt_state_at.reset();
  handle(FirstToken{id, attempt.endpoint, static_cast<int>(attempt_number), state_.now - attempt.started_at});
}

void ModelDispatcher::complete_attempt(const RequestId& id, std::size_t attempt_number,
                                       AttemptOutcome outcome) {
  ModelRequest& request = state_.requests.at(id);
  ModelAttempt& attempt = request.attempts[attempt_number];
  attempt.is_active = false;
  // An attempt that lasts past connect_by has made its connection in time, so the connection cannot have
  // failed. The endpoint rejects the request instead.
  if (outcome.status == AttemptStatus::kConnectFailed && attempt.connect_by != Time{} &&
      state_.now > attempt.connect_by) {
    outcome = {AttemptStatus::kFull, 0, AttemptEvidence::kNone, outcome.report};
  }
  if (!attempt.is_delivered) outcome = {undelivered_status(outcome.status)};
  const bool has_not_connected = outcome.status == AttemptStatus::kConnectFailed;
  const int number = static_cast<int>(attempt_number);
  attempt.may_have_run = !attempt.is_at_reader && !proves_no_effect(outcome.status);
  attempt.is_uncounted = has_not_connected && number < request.settings->free_connect_failures;
  if (outcome.status == AttemptStatus::kRead) request.prompt_state_at = attempt.endpoint;
  if (releases_prompt_state(attempt, outcome) || std::exchange(request.is_release_pending, false))
    request.prompt_state_at.reset();
  const bool has_arrived = attempt.is_delivered && !has_not_connected;
  if (has_arrived || !request.settings->reservation_expires_until_delivery)
    request.prompt_state_idle_since = state_.now;
  // A request is finished by its first complete answer, or when a stream that had begun breaks.
  const bool is_finished = request.has_final_answer || request.has_client_left ||
                           outcome.status == AttemptStatus::kServed || attempt.has_first_token;
  if (is_finished && !request.has_client_left) request.has_final_answer = true;
  AttemptCompleted completed{id,
                             attempt.endpoint,
                             number,
                             outcome.status,
                             state_.now - attempt.started_at,
                             is_finished,
                             outcome.cached_tokens,
                             outcome.evidence,
                             {}};
  if (state_.settings->report_source == ReportSource::kInAnswers) completed.report = outcome.report;
  handle(completed);
}

// ---- endpoints and settings ----

void ModelDispatcher::lose_prompt_states(const EndpointId& endpoint) {
  for (auto& [id, request] : state_.requests) {
    if (request.prompt_state_at == endpoint) request.prompt_state_at.reset();
  }
}

void ModelDispatcher::remove_unlisted_endpoints(const std::vector<EndpointInfo>& listed) {
  for (auto& [id, endpoint] : state_.endpoints) {
    const bool is_listed = std::ranges::find(listed, id, &EndpointInfo::endpoint) != listed.end();
    if (is_listed) continue;
    if (!endpoint.drained_since) endpoint.drained_since = state_.now;
    lose_prompt_states(id);
  }
}

void ModelDispatcher::update_endpoint(const EndpointInfo& info) {
  ModelEndpoint& endpoint = state_.endpoints[info.endpoint];
  if (endpoint.info.started != info.started || info.state == EndpointState::kRemoved)
    lose_prompt_states(info.endpoint);
  endpoint.info = info;
  endpoint.role = std::ranges::find(state_.settings->kinds, info.kind, &EndpointKind::name)->role;
  if (info.state == EndpointState::kReady) {
    endpoint.drained_since.reset();
  } else if (!endpoint.drained_since) {
    endpoint.drained_since = state_.now;
  }
}

void ModelDispatcher::send_endpoint_list(ListKind kind, std::vector<EndpointInfo> endpoints) {
  if (kind == ListKind::kFull || kind == ListKind::kCached) remove_unlisted_endpoints(endpoints);
  for (const EndpointInfo& info : endpoints) update_endpoint(info);
  handle(EndpointList{kind, std::move(endpoints)});
}

void ModelDispatcher::set_administrative_state(const EndpointId& endpoint, AdministrativeState state) {
  state_.endpoints.at(endpoint).is_offline = state == AdministrativeState::kDrained;
  handle(AdministrativeDrain{endpoint, state});
}

// Sends the endpoint list again under the new settings, because their kinds may have other roles.
void ModelDispatcher::apply_next_settings() {
  if (settings_.size() < 2) return;
  current_settings_ = (current_settings_ + 1) % settings_.size();
  state_.settings = settings_[current_settings_];
  handle(SettingsChanged{state_.settings});
  std::vector<EndpointInfo> endpoints;
  for (const auto& [id, endpoint] : state_.endpoints) {
    if (endpoint.info.state != EndpointState::kRemoved) endpoints.push_back(endpoint.info);
  }
  send_endpoint_list(ListKind::kFull, std::move(endpoints));
}

// ---- time ----

Time ModelDispatcher::round_up_to_tick(Time time) const {
  return (time + tick_ - Duration(1)) / tick_ * tick_;
}

// Returns when the attempt times out or its cancellation completes; Time::max() for a running stream.
Time ModelDispatcher::ends_at(const ModelAttempt& attempt) const {
  if (attempt.cancellation_completes_at) return round_up_to_tick(*attempt.cancellation_completes_at);
  if (attempt.has_first_token) return Time::max();
  return round_up_to_tick(std::max(attempt.deadline, attempt.started_at + Duration(1)));
}

bool ModelDispatcher::complete_due_attempt() {
  for (const auto& [id, request] : state_.requests) {
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      const ModelAttempt& attempt = request.attempts[i];
      if (!attempt.is_active || ends_at(attempt) > state_.now) continue;
      const bool is_cancelled = attempt.cancellation_completes_at.has_value();
      complete_attempt(id, i, {is_cancelled ? AttemptStatus::kCancelled : AttemptStatus::kTimeout});
      return true;
    }
  }
  return false;
}

bool ModelDispatcher::expire_due_timer() {
  const auto first = state_.timers.begin();
  if (first == state_.timers.end() || first->first > state_.now) return false;
  const std::uint64_t tag = first->second;
  state_.timers.erase(first);
  handle(TimerExpired{tag});
  return true;
}

Time ModelDispatcher::next_event_at(Time until) const {
  Time next = until;
  if (!state_.timers.empty()) next = std::min(next, state_.timers.begin()->first);
  for (const auto& [id, request] : state_.requests) {
    for (const ModelAttempt& attempt : request.attempts) {
      if (attempt.is_active) next = std::min(next, ends_at(attempt));
    }
  }
  return next;
}

void ModelDispatcher::advance(Duration time) {
  const Time until = round_up_to_tick(state_.now + time);
  for (;;) {
    if (complete_due_attempt()) continue;
    if (expire_due_timer()) continue;
    if (state_.now >= until) return;
    state_.now = std::max(state_.now, next_event_at(until));
    check_time_limits(state_);
  }
}

}  // namespace dispatcher::routing::testing
