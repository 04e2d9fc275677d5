/// What replicas may still hold for one request, inferred from how its attempts ended.
#ifndef DISPATCHER_ENGINE_RESERVATION_TRACKER_HPP_
#define DISPATCHER_ENGINE_RESERVATION_TRACKER_HPP_

#include "engine/timer_queue.hpp"
#include "routing/router.hpp"

namespace dispatcher::engine {

/// A reader keeps the state (the KV cache) that it computed for a request until a writer fetches it or it is
/// released. No I/O; the clock is passed in. One for each ActiveRequest.
class ReservationTracker {
 public:
  /// How an attempt ended.
  struct AttemptEnd {
    routing::AttemptStatus status{};
    routing::AttemptEvidence evidence{};
    bool at_reader = false;  ///< the attempt's endpoint is a reader
    Time may_run_until{};    ///< if its connection broke, the replica may work on it up to then
  };
  /// Returns whether the attempt may have left a state behind.
  bool on_attempt_ended(const AttemptEnd& end, Time now);
  /// The state was fetched. Replicas drop any other state of the request by themselves then.
  void on_first_token() { *this = {}; }
  /// The router releases the state that it knows of.
  void on_released_by_router();
  /// The replicas have confirmed a release.
  void on_release_confirmed() { may_hold_ = false; }

  /// Whether something may be held whose release was not requested or not confirmed.
  [[nodiscard]] bool may_hold() const { return may_hold_; }
  /// A release must not take the state that the router goes on with.
  [[nodiscard]] bool may_release() const { return may_hold_ && !is_known_to_router_; }
  /// Attempts whose connection broke may run until then, and leave a state. Zero: there are none.
  [[nodiscard]] Time may_run_until() const { return may_run_until_; }

 private:
  bool may_hold_ = false;
  bool is_known_to_router_ = false;
  Time may_run_until_{};
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_RESERVATION_TRACKER_HPP_
