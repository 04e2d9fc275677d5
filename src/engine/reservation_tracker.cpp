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
  // No state to fetch may also mean that its reader is partitioned from the writer, and still holds it.
  const bool is_state_unreachable =
      end.status == AttemptStatus::kFull && end.evidence == AttemptEvidence::kStateNotFound;
  const bool was_fetched = is_reset && had_response;
  if (is_broken_response || is_state_unreachable || was_fetched) is_known_to_router_ = false;
  if (end.at_reader && (is_broken_response || has_ended_unanswered(end.status))) note_late_read(end);

  // The attempt waited for a state that the router has released meanwhile, and leaves it behind.
  const bool was_spared = !end.at_reader && std::exchange(is_spared_, false) && !was_fetched &&
                          end.status != AttemptStatus::kServed;
  const bool may_have_left_state = is_broken_response || is_state_unreachable || was_spared ||
                                   (end.at_reader && has_ended_unanswered(end.status));
  // A written attempt has ended the release calls for those that may still run.
  const bool was_written =
      end.status != AttemptStatus::kConnectFailed || end.evidence != AttemptEvidence::kNone;
  if (may_have_left_state || (was_written && late_reads_.may_leave_state(now))) set_may_hold(now);
  if (may_have_left_state) is_release_current_ = false;

  if (end.status == AttemptStatus::kRead) {
    may_hold_ = false;  // the router knows of the state now, and releases it
    is_known_to_router_ = true;
  }
  return may_have_left_state;
}

// A replica that can be reached notices the end of an attempt that is ended here; one whose connection broke,
// or whose link is silent, may go on up to the deadline that it was given.
void ReservationTracker::note_late_read(const AttemptEnd& end) {
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
  is_spared_ = attempt == WriterAttempt::kInFlight;
  set_may_hold(now);  // until it is confirmed
  on_release_requested();
}

void ReservationTracker::on_release_confirmed() {
  // An answer to an earlier call says nothing of what was left since.
  if (is_release_current_) may_hold_ = false;
}

void ReservationTracker::set_may_hold(Time now) {
  if (!may_hold_) held_since_ = now;
  may_hold_ = true;
}

}  // namespace dispatcher::engine
