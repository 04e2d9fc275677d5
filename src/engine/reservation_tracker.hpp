/// Tracks what endpoints may still hold for one request, inferred from how its attempts ended.
#ifndef DISPATCHER_ENGINE_RESERVATION_TRACKER_HPP_
#define DISPATCHER_ENGINE_RESERVATION_TRACKER_HPP_

#include "engine/interfaces.hpp"
#include "engine/timer_queue.hpp"
#include "routing/router.hpp"

namespace dispatcher::engine {

/// A reader keeps the prompt state (the KV cache) that it computed for a request until a writer fetches it or
/// it is released. Each ActiveRequest has one tracker. Does no I/O; the time is passed in.
///
/// That an attempt was written does not show that it fetched the state: its link may have gone silent, in
/// which case no endpoint fetches what is held. Only a response shows that the attempt has arrived.
class ReservationTracker {
 public:
  /// How an attempt ended.
  struct AttemptEnd {
    routing::AttemptStatus status{};
    routing::AttemptEvidence evidence{};
    bool at_reader = false;  ///< the attempt's endpoint is a reader
    Time may_run_until{};    ///< an endpoint that does not notice the end may continue until then
    EndpointId endpoint{};
    bool is_endpoint_silent = false;  ///< as AttemptResult::is_endpoint_silent
  };
  /// Whether an attempt is in flight at a writer when a release is requested. If that attempt has arrived,
  /// the release does not remove the state that the attempt is waiting for.
  enum class WriterAttempt { kNone, kInFlight };

  /// Called when an attempt has ended. Returns whether it may have left prompt state behind.
  bool on_attempt_ended(const AttemptEnd& end, Time now);
  /// Called when an attempt was written, which ended the release calls in progress.
  void on_attempt_written(Time now);
  /// Called when the state was fetched. Endpoints then drop any other state of the request on their own.
  void on_first_token() { *this = {}; }
  /// Called when the router releases the state that it knows of.
  void on_released_by_router(WriterAttempt attempt, Time now);
  /// Called when a release of everything that is held now is requested.
  void on_release_requested() { is_release_current_ = true; }
  /// Called when an endpoint has confirmed a release.
  void on_release_confirmed();

  /// Returns whether something may be held whose release was not requested or not confirmed.
  [[nodiscard]] bool may_hold() const { return may_hold_; }
  /// Returns whether something may be held and may be released. A release must not remove state that the
  /// router still uses.
  [[nodiscard]] bool may_release() const { return may_hold_ && !is_known_to_router_; }
  /// Returns the time since which something may be held that no attempt is known to have fetched. Meaningful
  /// only if may_hold().
  [[nodiscard]] Time held_since() const { return held_since_; }
  /// Returns the reads that have ended here, but may still leave state.
  [[nodiscard]] const LateReads& late_reads() const { return late_reads_; }

 private:
  void set_may_hold(Time now);
  void record_late_read(const AttemptEnd& end);

  bool may_hold_ = false;
  bool is_known_to_router_ = false;
  bool is_release_current_ = false;  // a release was requested after something was last left
  bool is_kept_for_writer_ = false;  // a release by the router may have left it for an attempt in flight
  Time held_since_{};
  LateReads late_reads_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_RESERVATION_TRACKER_HPP_
