#include "engine/action_executor.hpp"

#include <variant>

namespace dispatcher::engine {

void ActionExecutor::execute(const routing::Action& action) {
  std::visit([this](const auto& alternative) { execute_action(alternative); }, action);
}

void ActionExecutor::execute_action(const routing::Reject& action) {
  const SlotId slot = requests_.slot_of(action.request);
  const ActiveRequest* request = answer(slot, NotServedReason::kRejected);
  if (request == nullptr) return;
  context_.request_log.log_rejected(request->id, action.reason);
  request->sink->reject(request->client, action.retry_after);
  requests_.remove_if_complete(slot);
}

void ActionExecutor::execute_action(const routing::Fail& action) {
  const SlotId slot = requests_.slot_of(action.request);
  const ActiveRequest* request = answer(slot, NotServedReason::kFailed);
  if (request == nullptr) return;
  context_.request_log.log_failed(request->id, action.reason);
  const bool is_late = request->has_timed_out || context_.clock() >= request->deadline;
  request->sink->fail(request->client, is_late ? Failure::kDeadlineExceeded : Failure::kUpstream);
  requests_.remove_if_complete(slot);
}

void ActionExecutor::execute_action(const routing::MigrateStream& action) {
  const SlotId slot = requests_.slot_of(action.request);
  const ActiveRequest* request = answer(slot, NotServedReason::kFailed);
  if (request == nullptr) return;
  context_.request_log.log_answered(request->id, "migrated");
  request->sink->abort_stream(request->client);
  if (request->streaming_attempt)
    attempts_.terminate({slot, *request->streaming_attempt}, AttemptStatus::kCancelled,
                        AttemptEndReason::kStreamMigrated);
  requests_.remove_if_complete(slot);
}

ActiveRequest* ActionExecutor::answer(SlotId slot, NotServedReason reason) {
  ActiveRequest* request = requests_.find(slot);
  if (request == nullptr || request->is_answered) return nullptr;
  requests_.mark_answered(*request);
  if (context_.request_observer != nullptr && !request->streaming_attempt)
    context_.request_observer->on_request_not_served(request->request_class, reason);
  return request;
}

void ActionExecutor::execute_action(const routing::ReserveSlot& action) {
  const SlotId slot = requests_.slot_of(action.request);
  const ActiveRequest* request = requests_.find(slot);
  if (request == nullptr || request->is_answered || request->attempts.empty()) return;
  const AttemptId latest{slot, request->attempt_count() - 1};
  context_.upstream.reserve_slot(latest, action.endpoint, action.request);
}

void ActionExecutor::execute_action(const routing::ReleaseReservation& action) {
  cleanup_.release_for_router(action.request);
}

void ActionExecutor::execute_action(const routing::SetTimer& action) {
  context_.timers.add(context_.clock() + action.after,
                      [this, tag = action.tag] { router_.handle(routing::TimerExpired{tag}); });
}

void ActionExecutor::execute_action(const routing::Subscribe&) {
  if (subscribe_) subscribe_();
}

}  // namespace dispatcher::engine
