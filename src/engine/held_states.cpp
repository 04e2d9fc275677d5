#include "engine/held_states.hpp"

#include <algorithm>

namespace dispatcher::engine {

using routing::Verdict;

bool HeldStates::attempt_ended(const End& end, Time now) {
  const Verdict v = end.verdict;
  const bool astray = v == Verdict::kCancelled || v == Verdict::kTimeout || v == Verdict::kReset;
  const bool spoilt = v == Verdict::kError && end.note == 1;
  // No state to fetch may also mean that its reader is cut off, and holds it.
  const bool lost_touch = v == Verdict::kFull && end.note == 1;
  if (spoilt || lost_touch || (v == Verdict::kReset && end.note == 1)) at_router_ = false;
  // A replica notices its end where the dispatcher closes; what broke may run on to the time it was told.
  if (end.reads && (spoilt || v == Verdict::kReset)) runs_until_ = std::max(runs_until_, end.runs_until);
  const bool left = spoilt || lost_touch || (end.reads && astray);
  // An attempt that was written has ended the calls for what runs on.
  const bool unwritten = v == Verdict::kConnectFailed && end.note == 0;
  if (left || (!unwritten && now < runs_until_)) may_hold_ = true;
  if (v == Verdict::kRead) {
    may_hold_ = false;  // the router knows of a state now: its to let go
    at_router_ = true;
  }
  return left;
}

void HeldStates::router_released() {
  at_router_ = false;
  may_hold_ = true;  // until it is answered
}

}  // namespace dispatcher::engine
