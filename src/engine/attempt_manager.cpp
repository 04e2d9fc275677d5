#include "engine/attempt_manager.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::engine {

using routing::AttemptEvidence;

namespace {

// Returns the status of an attempt whose endpoint can't have received the complete request, so that it had no
// effect there: a timeout counts as a failed connect, and a cancellation as never sent if the request is
// answered.
AttemptStatus status_if_undelivered(AttemptStatus status, bool is_answered) {
  if (status == AttemptStatus::kTimeout) return AttemptStatus::kConnectFailed;
  if (status == AttemptStatus::kCancelled && is_answered) return AttemptStatus::kNeverSent;
  return status;
}

}  // namespace

void AttemptManager::start(const routing::StartAttempt& action) {
  const SlotId slot = requests_.slot_of(action.request);
  ActiveRequest* request = requests_.find(slot);
  if (request == nullptr) return;
  const AttemptId id{slot, request->attempt_count()};
  const Time now = context_.clock();
  Attempt& attempt = request->attempts.emplace_back();
  attempt.endpoint = action.endpoint;
  attempt.started = now;
  attempt.at_reader = endpoints_.is_reader(action.endpoint);
  const bool has_own_deadline = action.deadline != Time{};
  const Time deadline = has_own_deadline ? std::min(action.deadline, request->deadline) : request->deadline;
  if (!may_start(*request, deadline, now)) {
    attempt.is_active = false;
    const routing::AttemptCompleted completed =
        request->completion(id.number, AttemptStatus::kNeverSent, now);
    context_.request_log.log_attempt_completed(completed, AttemptEndReason::kNotStarted);
    router_.handle(completed);
    return;
  }
  ++request->attempts_spent;
  attempt.deadline_timer = context_.timers.add(
      deadline, [this, id] { terminate(id, AttemptStatus::kTimeout, AttemptEndReason::kDeadline); });
  if (context_.hot_restart_observer != nullptr)
    context_.hot_restart_observer->on_attempt_started(action.endpoint);
  context_.request_log.log_attempt_started(action.request, action.endpoint, id.number, deadline - now);
  context_.upstream.start_attempt(id, action.endpoint, request->message, deadline, action.connect_by);
  cleanup_.schedule_if_needed(slot, ReservationCleanup::ScheduledRelease::kKeep);
}

bool AttemptManager::may_start(const ActiveRequest& request, Time deadline, Time now) {
  if (request.is_answered || request.streaming_attempt) return false;
  return request.attempts_spent < request.settings->max_attempts && deadline > now;
}

void AttemptManager::cancel(const routing::CancelAttempt& action) {
  const SlotId slot = requests_.slot_of(action.request);
  const ActiveRequest* request = requests_.find(slot);
  if (request == nullptr || request->streaming_attempt == action.attempt) return;
  const AttemptEndReason reason =
      request->is_answered ? AttemptEndReason::kClientDisconnected : AttemptEndReason::kCancelledByRouter;
  terminate({slot, action.attempt}, AttemptStatus::kCancelled, reason);
}

void AttemptManager::terminate(AttemptId id, AttemptStatus status, AttemptEndReason reason) {
  const ActiveAttempt active = requests_.find_active(id);
  if (!active) return;
  const bool had_connection = context_.upstream.has_connection(id);
  const bool is_endpoint_silent = context_.upstream.is_endpoint_silent(id);
  const bool was_delivered = context_.upstream.cancel_attempt(id);
  if (!was_delivered) status = status_if_undelivered(status, active.request->is_answered);
  const bool broke_connection = had_connection && status == AttemptStatus::kConnectFailed;
  const AttemptEvidence evidence =
      broke_connection ? AttemptEvidence::kEndpointRunning : AttemptEvidence::kNone;
  AttemptResult result{status, 0, evidence, {}};
  result.reason = reason;
  result.is_endpoint_silent = is_endpoint_silent;
  complete(id, result);
}

void AttemptManager::terminate_unconnected(SlotId slot) {
  for (int number = 0;; ++number) {
    const ActiveRequest* request = requests_.find(slot);
    if (request == nullptr || number >= request->attempt_count()) return;
    if (!request->attempt(number).is_active || request->streaming_attempt == number) continue;
    const AttemptId id{slot, number};
    if (!context_.upstream.has_connection(id))
      terminate(id, AttemptStatus::kNeverSent, AttemptEndReason::kClientDisconnected);
  }
}

void AttemptManager::complete(AttemptId id, const AttemptResult& result) {
  ActiveRequest& request = *requests_.find(id.request);
  Attempt& attempt = request.attempt(id.number);
  attempt.is_active = false;
  const Time deadline = attempt.deadline_timer.due;
  context_.timers.drop(attempt.deadline_timer);

  const AttemptStatus status = finish_stream(request, id, result.status);
  request.has_timed_out = status == AttemptStatus::kTimeout;
  const bool is_free = id.number < request.settings->free_connect_failures;
  if (status == AttemptStatus::kConnectFailed && is_free) --request.attempts_spent;

  const Time may_run_until = deadline + ReservationCleanup::release_delay(request);
  const bool may_have_left_state =
      request.reservations.on_attempt_ended({status, result.evidence, attempt.at_reader, may_run_until,
                                             attempt.endpoint, result.is_endpoint_silent},
                                            context_.clock());
  if (status == AttemptStatus::kRead) context_.upstream.cancel_release(request.id);
  if (result.invalid_request) fail_invalid_request(request);

  routing::AttemptCompleted completed = request.completion(id.number, status, context_.clock());
  completed.cached_prompt_tokens = result.cached_prompt_tokens;
  completed.evidence = result.evidence;
  completed.report = result.report;
  context_.request_log.log_attempt_completed(completed, result.reason);
  using ScheduledRelease = ReservationCleanup::ScheduledRelease;
  cleanup_.schedule_if_needed(id.request,
                              may_have_left_state ? ScheduledRelease::kPostpone : ScheduledRelease::kKeep);
  router_.handle(std::move(completed));
  requests_.remove_if_complete(id.request);
}

AttemptStatus AttemptManager::finish_stream(ActiveRequest& request, AttemptId id, AttemptStatus status) {
  const bool is_streaming = request.streaming_attempt == id.number;
  if (!is_streaming) {
    // A stream without any event is no response for the client, but the request may have run.
    return status == AttemptStatus::kServed ? AttemptStatus::kError : status;
  }
  if (request.is_answered) return status;
  requests_.mark_answered(request);
  if (status == AttemptStatus::kServed) {
    request.sink->finish_stream(request.client);
  } else {
    context_.log("stream " + request.id.value() + " broke at endpoint " +
                 request.attempt(id.number).endpoint.value());
    request.sink->abort_stream(request.client);
  }
  return status;
}

void AttemptManager::fail_invalid_request(ActiveRequest& request) {
  if (request.is_answered) return;
  requests_.mark_answered(request);
  request.sink->fail(request.client, Failure::kInvalidRequest);
}

}  // namespace dispatcher::engine
