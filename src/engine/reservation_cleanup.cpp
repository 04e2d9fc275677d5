#include "engine/reservation_cleanup.hpp"

namespace dispatcher::engine {

namespace {

// What an aborted read left is released only when the replica has had time to notice the abort: an earlier
// release would find nothing yet. As a part of the time within which it must be released.
constexpr int kReservationLimitDivisor = 4;

}  // namespace

Duration ReservationCleanup::release_delay(const ActiveRequest& request) {
  return request.settings->reservation_limit / kReservationLimitDivisor;
}

void ReservationCleanup::schedule_if_needed(SlotId slot, ScheduledRelease scheduled) {
  ActiveRequest* request = requests_.find(slot);
  if (request == nullptr || !request->reservations.may_hold() || has_connected_attempt(slot)) return;
  const bool is_scheduled = request->release_timer.is_set();
  if (is_scheduled && scheduled == ScheduledRelease::kKeep) return;
  context_.timers.drop(request->release_timer);
  const Time release_at = context_.clock() + release_delay(*request);
  request->release_timer = context_.timers.add(release_at, [this, slot] { release(slot); });
}

void ReservationCleanup::release(SlotId slot) {
  ActiveRequest* request = requests_.find(slot);
  if (request == nullptr) return;
  request->release_timer = {};
  if (request->reservations.may_release() && !has_connected_attempt(slot)) {
    context_.request_log.log_release_requested(request->id, ReleaseReason::kPossiblyLeft);
    context_.upstream.release_reservation(request->id, request->reservations.may_run_until());
  }
  requests_.remove_if_complete(slot);
}

void ReservationCleanup::release_for_router(const RequestId& id) {
  Time may_run_until{};
  if (ActiveRequest* request = requests_.find(requests_.slot_of(id)); request != nullptr) {
    request->reservations.on_released_by_router();
    may_run_until = request->reservations.may_run_until();
  }
  context_.request_log.log_release_requested(id, ReleaseReason::kRouter);
  context_.upstream.release_reservation(id, may_run_until);
}

bool ReservationCleanup::has_connected_attempt(SlotId slot) {
  const ActiveRequest& request = *requests_.find(slot);
  for (int number = 0; number < request.attempt_count(); ++number) {
    if (request.attempt(number).is_active && context_.upstream.has_connection({slot, number})) return true;
  }
  return false;
}

}  // namespace dispatcher::engine
