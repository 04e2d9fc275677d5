// What may be held at replicas for one request, as its attempts' ends tell. No I/O; the clock is passed in.
#ifndef DISPATCHER_ENGINE_RESERVATION_TRACKER_HPP_
#define DISPATCHER_ENGINE_RESERVATION_TRACKER_HPP_

#include "engine/timer_queue.hpp"
#include "routing/router.hpp"

namespace dispatcher::engine {

class ReservationTracker {
 public:
  struct End {
    routing::AttemptStatus status{};
    int note = 0;        // as in routing::AttemptCompleted
    bool reads = false;  // at a reader
    Time runs_until{};   // if it broke, it may run on up to then
  };
  // True: something may have been left just now.
  bool attempt_ended(const End& end, Time now);
  // All that is held goes by itself then.
  void first_token() { *this = {}; }
  // The router lets go of the state that it knows of.
  void router_released();
  void release_answered() { may_hold_ = false; }

  // May something be held that nobody was asked to let go of, or that nobody has answered for?
  [[nodiscard]] bool may_hold() const { return may_hold_; }
  // A release must not take the state that the router goes on with.
  [[nodiscard]] bool may_release() const { return may_hold_ && !at_router_; }
  // Attempts that broke may run on up to then, and leave a state.
  [[nodiscard]] Time runs_until() const { return runs_until_; }

 private:
  bool may_hold_ = false;
  bool at_router_ = false;  // the router knows of a state
  Time runs_until_{};
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_RESERVATION_TRACKER_HPP_
