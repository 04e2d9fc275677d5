#include "engine/request_table.hpp"

namespace dispatcher::engine {

SlotId RequestTable::add(const RequestId& id) {
  const SlotId slot = requests_.emplace();
  requests_.find(slot)->id = id;
  slots_by_id_[id] = slot;
  ++unanswered_count_;
  return slot;
}

SlotId RequestTable::slot_of(const RequestId& id) const {
  const auto it = slots_by_id_.find(id);
  return it == slots_by_id_.end() ? SlotId{} : it->second;
}

ActiveAttempt RequestTable::find_active(AttemptId id) {
  ActiveRequest* request = requests_.find(id.request);
  if (request == nullptr || id.number >= request->attempt_count()) return {};
  Attempt& attempt = request->attempt(id.number);
  if (!attempt.is_active) return {};
  return {request, &attempt};
}

void RequestTable::mark_answered(ActiveRequest& request) {
  request.is_answered = true;
  --unanswered_count_;
  context_.timers.drop(request.overdue_timer);
  context_.timers.drop(request.idle_timer);
}

void RequestTable::remove_if_complete(SlotId slot) {
  const ActiveRequest* request = requests_.find(slot);
  if (request == nullptr || !request->is_answered || request->has_active_attempt()) return;
  if (request->release_timer.is_set()) return;
  if (context_.hot_restart_observer != nullptr)
    context_.hot_restart_observer->on_request_progress(request->id, RequestProgress::kCompleted);
  slots_by_id_.erase(request->id);
  requests_.erase(slot);
}

std::vector<RequestId> RequestTable::ids() const {
  std::vector<RequestId> ids;
  ids.reserve(slots_by_id_.size());
  for (const auto& [id, slot] : slots_by_id_) ids.push_back(id);
  return ids;
}

}  // namespace dispatcher::engine
