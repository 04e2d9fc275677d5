#include "engine/reservation_tracker.hpp"

#include <algorithm>

namespace dispatcher::engine {

using routing::AttemptStatus;

bool ReservationTracker::attempt_ended(const End& end, Time now) {
  const AttemptStatus v = end.status;
  const bool astray =
      v == AttemptStatus::kCancelled || v == AttemptStatus::kTimeout || v == AttemptStatus::kReset;
  const bool spoilt = v == AttemptStatus::kError && end.note == 1;
  // No state to fetch may also mean that its reader is cut off, and holds it.
  const bool lost_touch = v == AttemptStatus::kFull && end.note == 1;
  if (spoilt || lost_touch || (v == AttemptStatus::kReset && end.note == 1)) at_router_ = false;
  // A replica notices its end where the dispatcher closes; what broke may run on to the time it was told.
  if (end.reads && (spoilt || v == AttemptStatus::kReset))
    runs_until_ = std::max(runs_until_, end.runs_until);
  const bool left = spoilt || lost_touch || (end.reads && astray);
  // An attempt that was written has ended the calls for what runs on.
  const bool unwritten = v == AttemptStatus::kConnectFailed && end.note == 0;
  if (left || (!unwritten && now < runs_until_)) may_hold_ = true;
  if (v == AttemptStatus::kRead) {
    may_hold_ = false;  // the router knows of a state now: its to let go
    at_router_ = true;
  }
  return left;
}

void ReservationTracker::router_released() {
  at_router_ = false;
  may_hold_ = true;  // until it is answered
}

}  // namespace dispatcher::engine
