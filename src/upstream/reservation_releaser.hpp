// When and how often to call replicas to release the reservations of requests.
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

// Drives the releases of all requests. Each calls further and further replicas until one answers, with
// growing intervals where none can be reached, and is repeated for as long as something may still leave a
// reservation behind. Owned by ReservationClient; runs on the event loop's thread.
class ReservationReleaser {
 public:
  // Makes the calls. Never calls back from inside a call.
  class ReleaseTransport {
   public:
    virtual ~ReleaseTransport() = default;
    // Empty: no connection may be opened now.
    [[nodiscard]] virtual SlotId start_release_call(const EndpointId& endpoint,
                                                    const RequestId& request_id) = 0;
    virtual void close_release_call(SlotId call) = 0;
    [[nodiscard]] virtual std::vector<ReleaseCandidate> release_candidates() = 0;
  };
  struct Limits {
    Duration round_interval{};   // from one round of calls to the next, at first
    Duration repeat_interval{};  // from an answer to the next call, while a reservation may still be left
    std::size_t max_calls = 0;   // calls under way at once, for all requests together
  };

  ReservationReleaser(ReleaseTransport& transport, engine::TimerQueue& timers, engine::Clock clock,
                      engine::Log log, const Limits& limits);
  ReservationReleaser(const ReservationReleaser&) = delete;
  ReservationReleaser& operator=(const ReservationReleaser&) = delete;
  void set_limits(const Limits& limits) { limits_ = limits; }

  // Releases what is reserved for the request, repeatedly while late reads may leave a reservation. Continues
  // a release of the request that is under way, and repeats it once: its calls may have been too early.
  void release(const RequestId& request_id, const engine::LateReads& late_reads);
  // Ends a release and its calls: an attempt of the request is being written, whose reservation earlier calls
  // must not release.
  void cancel(const RequestId& request_id);
  // What a release has taken so far.
  struct Progress {
    int calls = 0;
    Duration elapsed{};
  };
  // How a call ended. Calls of a release that has ended are ignored.
  Progress on_call_answered(const RequestId& request_id, SlotId call, const EndpointId& endpoint);
  void on_call_failed(const RequestId& request_id, SlotId call);

  // Releases that have not ended.
  [[nodiscard]] std::size_t pending() const { return releases_.size(); }
  // Those that a graceful shutdown waits for: all but those that have reached no replica for long.
  [[nodiscard]] std::size_t blocking_shutdown() const;

 private:
  struct Release {
    ReleaseTargets targets;
    std::deque<SlotId> calls;  // under way, the oldest at the front
    engine::LateReads late_reads;
    Time repeat_until{};              // whatever late reads there are
    bool is_awaiting_repeat = false;  // answered, and to be repeated
    engine::TimerId timer;            // of the next round, or the repetition
  };
  // A call of any release. It may have ended.
  struct StartedCall {
    Time started{};
    RequestId request_id;
    SlotId call;
  };
  [[nodiscard]] ReleaseTargets new_targets(Time now) const;
  // Until when the release is repeated once it is answered.
  [[nodiscard]] static Time repeated_until(const Release& release);
  void note_reachable(Release& release, const EndpointId& endpoint);
  void restart(const RequestId& request_id, Release& release);
  void start_round(const RequestId& request_id);
  void start_calls(const RequestId& request_id, Release& release, const std::vector<EndpointId>& targets);
  // How many calls a round of the release may make: what is free of the limit and what it has itself, whose
  // calls the new ones replace; where that is nothing, the call of another release that has been out longest.
  [[nodiscard]] std::size_t available_calls(const Release& release);
  void close_longest_call(Time started_before);
  [[nodiscard]] bool is_under_way(const StartedCall& started) const;
  void drop_oldest_started_calls();
  [[nodiscard]] std::vector<EndpointId> choose_targets(Release& release, Time now);
  void schedule_repeat(const RequestId& request_id, Release& release, Time now);
  // Closes the oldest calls, so that `remaining` are left.
  void close_calls(Release& release, std::size_t remaining);

  ReleaseTransport& transport_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  engine::Log log_;
  Limits limits_;
  std::map<RequestId, Release> releases_;  // by request id
  std::size_t call_count_ = 0;             // under way, of all releases

  std::deque<StartedCall> started_calls_;  // in the order of their start
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_RESERVATION_RELEASER_HPP_
