#include "engine/reservation_cleanup.hpp"

#include <algorithm>

namespace dispatcher::engine {

namespace {

// A release waits for this part (1/4) of the reservation limit, within which reservations must be released.
// An earlier release of what an aborted read left would find nothing, as the endpoint needs time to notice
// the abort.
constexpr int kReleaseDelayDivisor = 4;

// While a further attempt is in flight, a release waits for this part of the reservation limit, in tenths:
// the attempt may have arrived and be about to leave state of its own, which the release would remove.
constexpr int kInFlightDelayTenths = 7;

Duration in_flight_delay(const ActiveRequest& request) {
  return request.settings->reservation_limit * kInFlightDelayTenths / 10;
}

}  // namespace

Duration ReservationCleanup::release_delay(const ActiveRequest& request) {
  return request.settings->reservation_limit / kReleaseDelayDivisor;
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

// An attempt with a connection delays the release only until the in-flight delay has passed, because an
// established connection does not show that the request arrives.
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

// Writing an attempt ends the release calls, whether or not the attempt arrives. Whatever was not confirmed
// by then must be released again.
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
