/// What replicas may still hold for one request, inferred from how its attempts ended.
#ifndef DISPATCHER_ENGINE_RESERVATION_TRACKER_HPP_
#define DISPATCHER_ENGINE_RESERVATION_TRACKER_HPP_

#include "engine/interfaces.hpp"
#include "engine/timer_queue.hpp"
#include "routing/router.hpp"

namespace dispatcher::engine {

/// A reader keeps the state (the KV cache) that it computed for a request until a writer fetches it or it is
/// released. No I/O; the clock is passed in. One for each ActiveRequest.
///
/// An attempt that was written counts for nothing here until a response shows that it has arrived: its link
/// may have fallen silent, so that nobody fetches what is held.
class ReservationTracker {
 public:
  /// How an attempt ended.
  struct AttemptEnd {
    routing::AttemptStatus status{};
    routing::AttemptEvidence evidence{};
    bool at_reader = false;  ///< the attempt's endpoint is a reader
    Time may_run_until{};    ///< if the replica does not notice the end, it may work on it up to then
    EndpointId endpoint{};
    bool is_endpoint_silent = false;  ///< as AttemptResult::is_endpoint_silent
  };
  /// Whether a release finds an attempt in flight at a writer. If that has arrived, the release spares the
  /// state that the attempt waits for.
  enum class WriterAttempt { kNone, kInFlight };

  /// Returns whether the attempt may have left a state behind.
  bool on_attempt_ended(const AttemptEnd& end, Time now);
  /// An attempt was written, which ended the release calls under way.
  void on_attempt_written(Time now);
  /// The state was fetched. Replicas drop any other state of the request by themselves then.
  void on_first_token() { *this = {}; }
  /// The router releases the state that it knows of.
  void on_released_by_router(WriterAttempt attempt, Time now);
  /// A release is requested of everything that is held now.
  void on_release_requested() { is_release_current_ = true; }
  /// The replicas have confirmed a release.
  void on_release_confirmed();

  /// Whether something may be held whose release was not requested or not confirmed.
  [[nodiscard]] bool may_hold() const { return may_hold_; }
  /// A release must not take the state that the router goes on with.
  [[nodiscard]] bool may_release() const { return may_hold_ && !is_known_to_router_; }
  /// Since when something may be held that no attempt has provably taken. Of use where may_hold().
  [[nodiscard]] Time held_since() const { return held_since_; }
  /// Reads that have ended here and may leave a state all the same.
  [[nodiscard]] const LateReads& late_reads() const { return late_reads_; }

 private:
  void set_may_hold(Time now);
  void note_late_read(const AttemptEnd& end);

  bool may_hold_ = false;
  bool is_known_to_router_ = false;
  bool is_release_current_ = false;  // a release was requested since something may have been left
  bool is_spared_ = false;           // by a release that found an attempt in flight at a writer
  Time held_since_{};
  LateReads late_reads_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_RESERVATION_TRACKER_HPP_
