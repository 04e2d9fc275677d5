// Decides when and how often to call endpoints to release the reservations of requests.
#ifndef DISPATCHER_UPSTREAM_RESERVATION_RELEASER_HPP_
#define DISPATCHER_UPSTREAM_RESERVATION_RELEASER_HPP_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "engine/engine.hpp"
#include "net/slot_table.hpp"
#include "upstream/options.hpp"
#include "upstream/release_targets.hpp"

namespace dispatcher::upstream {

using engine::RequestId;
using net::SlotId;

// Drives the releases of all requests. Each release calls more and more endpoints until one answers, at
// growing intervals while none can be reached, and is repeated for as long as something may still leave a
// reservation behind. Owned by ReservationClient; runs on the event loop's thread.
class ReservationReleaser {
 public:
  // Makes the release calls. Never calls the releaser from inside its own functions.
  class ReleaseTransport {
   public:
    virtual ~ReleaseTransport() = default;
    // Starts a call and returns its handle, which is empty if no connection may be opened now.
    [[nodiscard]] virtual SlotId start_release_call(const EndpointId& endpoint,
                                                    const RequestId& request_id) = 0;
    virtual void close_release_call(SlotId call) = 0;
    [[nodiscard]] virtual std::vector<ReleaseCandidate> release_candidates() = 0;
  };
  // The intervals of release calls and the limit on them.
  struct Limits {
    Duration round_interval{};   // from one round of calls to the next, at first
    Duration repeat_interval{};  // from an answer to the next call, while a reservation may be left
    std::size_t max_calls = 0;   // maximum of active calls, for all requests together
  };

  ReservationReleaser(ReleaseTransport& transport, engine::TimerQueue& timers, engine::Clock clock,
                      engine::Log log, const Limits& limits);
  ReservationReleaser(const ReservationReleaser&) = delete;
  ReservationReleaser& operator=(const ReservationReleaser&) = delete;
  void set_limits(const Limits& limits) { limits_ = limits; }

  // Releases what is reserved for the request, repeatedly while late reads may leave a reservation. If a
  // release of the request is active, continues it and repeats it once, as its calls may have been too early.
  void release(const RequestId& request_id, const engine::LateReads& late_reads);
  // Ends a release and its calls. Used when an attempt of the request is being written, because earlier calls
  // must not release its reservation.
  void cancel(const RequestId& request_id);
  // The number of calls and the time that a release has taken so far.
  struct Progress {
    int calls = 0;
    Duration elapsed{};
  };
  // Called when a call was answered; returns the progress of its release. Ignored, with an empty result, if
  // the release has ended.
  Progress on_call_answered(const RequestId& request_id, SlotId call, const EndpointId& endpoint);
  // Called when a call failed. Ignored if its release has ended.
  void on_call_failed(const RequestId& request_id, SlotId call);

  // Returns the number of releases that have not ended.
  [[nodiscard]] std::size_t pending() const { return releases_.size(); }
  // Returns the number of releases that a graceful shutdown waits for: all except those that have reached no
  // endpoint for a long time.
  [[nodiscard]] std::size_t blocking_shutdown() const;

 private:
  struct Release {
    ReleaseTargets targets;
    std::deque<SlotId> calls;  // active, the oldest at the front
    engine::LateReads late_reads;
    Time repeat_until{};              // repeated at least until then, regardless of late reads
    bool is_awaiting_repeat = false;  // answered, and to be repeated
    engine::TimerId timer;            // of the next round or the repetition
  };
  // A call that was started for any of the releases. It may have ended.
  struct StartedCall {
    Time started{};
    RequestId request_id;
    SlotId call;
  };
  [[nodiscard]] ReleaseTargets new_targets(Time now) const;
  // Returns the time until which the release is repeated once it is answered.
  [[nodiscard]] static Time repeated_until(const Release& release);
  void clear_reachable_reader(Release& release, const EndpointId& endpoint);
  void restart(const RequestId& request_id, Release& release);
  void start_round(const RequestId& request_id);
  void start_calls(const RequestId& request_id, Release& release, const std::vector<EndpointId>& targets);
  // Returns how many calls a round of the release may make: the unused part of the limit plus the release's
  // own active calls, which the new ones replace. If there is neither, first closes the oldest call
  // of another release.
  [[nodiscard]] std::size_t available_calls(const Release& release);
  void close_oldest_call(Time started_before);
  [[nodiscard]] bool is_active(const StartedCall& started) const;
  void drop_oldest_started_calls();
  [[nodiscard]] std::vector<EndpointId> choose_targets(Release& release, Time now);
  void schedule_repeat(const RequestId& request_id, Release& release, Time now);
  // Closes the oldest calls of the release until `remaining` are left.
  void close_calls(Release& release, std::size_t remaining);

  ReleaseTransport& transport_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  engine::Log log_;
  Limits limits_;
  std::map<RequestId, Release> releases_;
  std::size_t call_count_ = 0;  // active calls of all releases

  std::deque<StartedCall> started_calls_;  // in the order of their start
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_RESERVATION_RELEASER_HPP_
