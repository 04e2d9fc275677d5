#include "engine/reservation_tracker.hpp"

#include <algorithm>

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

  // A replica notices the end of an attempt that is cancelled here; one whose connection broke may go on up
  // to the deadline that it was given.
  if (end.at_reader && (is_broken_response || is_reset))
    may_run_until_ = std::max(may_run_until_, end.may_run_until);

  const bool may_have_left_state =
      is_broken_response || is_state_unreachable || (end.at_reader && has_ended_unanswered(end.status));
  // A written attempt has ended the release calls for those that may still run.
  const bool was_written =
      end.status != AttemptStatus::kConnectFailed || end.evidence != AttemptEvidence::kNone;
  if (may_have_left_state || (was_written && now < may_run_until_)) may_hold_ = true;

  if (end.status == AttemptStatus::kRead) {
    may_hold_ = false;  // the router knows of the state now, and releases it
    is_known_to_router_ = true;
  }
  return may_have_left_state;
}

void ReservationTracker::on_released_by_router() {
  is_known_to_router_ = false;
  may_hold_ = true;  // until it is confirmed
}

}  // namespace dispatcher::engine
