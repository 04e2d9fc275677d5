#include "engine/reservation_tracker.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::engine {

using routing::AttemptEvidence;
using routing::AttemptStatus;

namespace {

bool has_ended_unanswered(AttemptStatus status) {
  return status == AttemptStatus::kCancelled || status == AttemptStatus::kTimeout ||
         status == AttemptStatus::kReset;
}

}  // namespace

bool ReservationTracker::on_attempt_ended(const AttemptEnd& end, Time now) {
  const bool is_reset = end.status == AttemptStatus::kReset;
  const bool had_response = end.evidence == AttemptEvidence::kEndpointRunning;
  const bool is_broken_response = end.status == AttemptStatus::kError && had_response;
  // A writer also finds no state to fetch if it is partitioned from the reader, which then still holds it.
  const bool is_state_unreachable =
      end.status == AttemptStatus::kFull && end.evidence == AttemptEvidence::kStateNotFound;
  const bool was_fetched = is_reset && had_response;
  if (is_broken_response || is_state_unreachable || was_fetched) is_known_to_router_ = false;
  if (end.at_reader && (is_broken_response || has_ended_unanswered(end.status))) record_late_read(end);

  // The router's release did not remove the state because this attempt was waiting for it. The attempt ended
  // without fetching the state, so it is still held.
  const bool was_kept_for_writer = !end.at_reader && std::exchange(is_kept_for_writer_, false) &&
                                   !was_fetched && end.status != AttemptStatus::kServed;
  const bool may_have_left_state = is_broken_response || is_state_unreachable || was_kept_for_writer ||
                                   (end.at_reader && has_ended_unanswered(end.status));
  // Writing this attempt ended the release calls for reads that may still be running.
  const bool was_written =
      end.status != AttemptStatus::kConnectFailed || end.evidence != AttemptEvidence::kNone;
  if (may_have_left_state || (was_written && late_reads_.may_leave_state(now))) set_may_hold(now);
  if (may_have_left_state) is_release_current_ = false;

  if (end.status == AttemptStatus::kRead) {
    may_hold_ = false;  // the router knows of the state now and will release it
    is_known_to_router_ = true;
  }
  return may_have_left_state;
}

// A reachable endpoint notices when the dispatcher ends an attempt. An endpoint whose connection broke or
// whose link is silent may continue until the deadline that it was given.
void ReservationTracker::record_late_read(const AttemptEnd& end) {
  const bool is_ended_here = end.status == AttemptStatus::kCancelled || end.status == AttemptStatus::kTimeout;
  if (!is_ended_here) {
    late_reads_.until = std::max(late_reads_.until, end.may_run_until);
  } else if (end.is_endpoint_silent) {
    late_reads_.silent_until = std::max(late_reads_.silent_until, end.may_run_until);
    late_reads_.silent_reader = end.endpoint;
  }
}

void ReservationTracker::on_attempt_written(Time now) {
  if (late_reads_.may_leave_state(now)) set_may_hold(now);
}

void ReservationTracker::on_released_by_router(WriterAttempt attempt, Time now) {
  is_known_to_router_ = false;
  is_kept_for_writer_ = attempt == WriterAttempt::kInFlight;
  set_may_hold(now);  // until the release is confirmed
  on_release_requested();
}

void ReservationTracker::on_release_confirmed() {
  // The confirmation of an earlier release does not cover what was left since.
  if (is_release_current_) may_hold_ = false;
}

void ReservationTracker::set_may_hold(Time now) {
  if (!may_hold_) held_since_ = now;
  may_hold_ = true;
}

}  // namespace dispatcher::engine
