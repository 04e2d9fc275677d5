#include "engine/reservation_cleanup.hpp"

#include <algorithm>

namespace dispatcher::engine {

namespace {

// What an aborted read left is released only when the replica has had time to notice the abort: an earlier
// release would find nothing yet. As a part of the time within which it must be released.
constexpr int kReservationLimitDivisor = 4;

// While a further attempt is in flight, as it may have arrived and be about to leave a state of its own that
// a release would take: so much of the limit, in tenths.
constexpr int kInFlightDelayTenths = 7;

Duration in_flight_delay(const ActiveRequest& request) {
  return request.settings->reservation_limit * kInFlightDelayTenths / 10;
}

}  // namespace

Duration ReservationCleanup::release_delay(const ActiveRequest& request) {
  return request.settings->reservation_limit / kReservationLimitDivisor;
}

void ReservationCleanup::schedule_if_needed(SlotId slot, ScheduledRelease scheduled) {
  const ActiveRequest* request = requests_.find(slot);
  if (request == nullptr || !request->reservations.may_hold()) return;
  const Time now = context_.clock();
  Time release_at = now + release_delay(*request);
  if (has_connected_attempt(slot))
    release_at = std::max(now, request->reservations.held_since() + in_flight_delay(*request));
  const TimerId& timer = request->release_timer;
  const bool is_scheduled_before = timer.is_set() && timer.due <= release_at;
  if (scheduled == ScheduledRelease::kKeep && is_scheduled_before) return;
  schedule_at(slot, release_at);
}

void ReservationCleanup::schedule_at(SlotId slot, Time release_at) {
  ActiveRequest& request = *requests_.find(slot);
  context_.timers.drop(request.release_timer);
  request.release_timer = context_.timers.add(release_at, [this, slot] { on_timer(slot); });
}

void ReservationCleanup::on_timer(SlotId slot) {
  ActiveRequest* request = requests_.find(slot);
  if (request == nullptr) return;
  request->release_timer = {};
  if (request->reservations.may_release()) release_when_due(slot, *request);
  requests_.remove_if_complete(slot);
}

// That an attempt has its connection does not show that it arrives: it puts the release off for a while only.
void ReservationCleanup::release_when_due(SlotId slot, ActiveRequest& request) {
  const Time now = context_.clock();
  const Time due = request.reservations.held_since() + in_flight_delay(request);
  if (has_connected_attempt(slot) && now < due) return schedule_at(slot, due);
  context_.request_log.log_release_requested(request.id, ReleaseReason::kPossiblyLeft);
  request.reservations.on_release_requested();
  context_.upstream.release_reservation(request.id, request.reservations.late_reads());
  check_again_if_in_flight(slot, request);
}

void ReservationCleanup::release_for_router(const RequestId& id) {
  context_.request_log.log_release_requested(id, ReleaseReason::kRouter);
  const SlotId slot = requests_.slot_of(id);
  ActiveRequest* request = requests_.find(slot);
  if (request == nullptr) return context_.upstream.release_reservation(id, {});
  using WriterAttempt = ReservationTracker::WriterAttempt;
  const bool is_in_flight = request->has_active_attempt();
  request->reservations.on_released_by_router(is_in_flight ? WriterAttempt::kInFlight : WriterAttempt::kNone,
                                              context_.clock());
  context_.upstream.release_reservation(id, request->reservations.late_reads());
  check_again_if_in_flight(slot, *request);
}

// An attempt that is written ends the release calls, whether it arrives or not: what was not confirmed by
// then must be released again.
void ReservationCleanup::check_again_if_in_flight(SlotId slot, const ActiveRequest& request) {
  if (request.has_active_attempt()) schedule_at(slot, context_.clock() + release_delay(request));
}

bool ReservationCleanup::has_connected_attempt(SlotId slot) {
  const ActiveRequest& request = *requests_.find(slot);
  for (int number = 0; number < request.attempt_count(); ++number) {
    if (request.attempt(number).is_active && context_.upstream.has_connection({slot, number})) return true;
  }
  return false;
}

}  // namespace dispatcher::engine
