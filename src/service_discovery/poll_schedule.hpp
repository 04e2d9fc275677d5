// Decides when service discovery is called, which calls stay open and when one is closed. Pure: the time and
// the random number of each event are passed in, and it returns which calls to open and to close.
// The bounds that it keeps are in poll_timing.hpp.
#ifndef DISPATCHER_SERVICE_DISCOVERY_POLL_SCHEDULE_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_POLL_SCHEDULE_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "service_discovery/backoff.hpp"

namespace dispatcher::service_discovery {

// How endpoint lists reach this dispatcher, which decides what a call costs.
enum class ListDelivery {
  // An agent on the same machine pushes them. Calls cost nothing, and a call that is open when service
  // discovery recovers is answered at that moment. So one is open at all times except in the pause after a
  // rejection: a call without an answer is not closed but joined by a second one, and so is a watch that went
  // silent. The first that is answered becomes the watch, and the other is closed.
  kPush,
  // They are polled from one service that the whole fleet shares: there is one call at a time, and each
  // failure is followed by a pause that depends on the fleet's size.
  kPoll,
};

// The state machine of the calls to service discovery. Owned and driven by EndpointWatcher, on its event
// loop; calls nothing back. Times are since the Unix epoch, in microseconds.
class PollSchedule {
 public:
  using Time = std::chrono::microseconds;
  using CallId = std::uint32_t;
  static constexpr CallId kNoCall = 0;

  // What the owner has to do, in this order.
  struct Actions {
    std::vector<CallId> close;
    CallId open = kNoCall;
    bool has_timed_out = false;        // a call or the watch brought nothing within its timeout
    bool needs_complete_list = false;  // a change was lost: the next call must request the complete list
  };

  // `dispatcher_count`: how many dispatchers call the same service discovery.
  PollSchedule(ListDelivery delivery, int dispatcher_count);

  // Closes all calls and opens one at once.
  [[nodiscard]] Actions restart(Time now);
  // The same for a new address, which has not rejected or failed anything yet.
  [[nodiscard]] Actions restart_at_new_address(Time now);

  // In the following, `jitter` is uniform in [0, 1). Ids of calls that are closed are ignored.

  // To be called at next_deadline().
  [[nodiscard]] Actions on_timer(Time now, double jitter);
  // The response's status was an error.
  [[nodiscard]] Actions on_rejected(CallId id, Time now, double jitter);
  // The connection couldn't be opened, was reset or has ended.
  [[nodiscard]] Actions on_failed(CallId id, Time now, double jitter);
  // The response could not be parsed.
  [[nodiscard]] Actions on_unreadable(CallId id, Time now, double jitter);
  // The response's head came. The first call to be answered becomes the watch.
  [[nodiscard]] Actions on_answered(CallId id, Time now);
  // Bytes of the body came. `object_started_at`: when the first byte came of an object that is incomplete.
  void on_data_received(CallId id, Time now, std::optional<Time> object_started_at);

  // When on_timer() is due; none before the first restart().
  [[nodiscard]] std::optional<Time> next_deadline() const;
  [[nodiscard]] bool is_started() const { return is_started_; }
  [[nodiscard]] std::size_t open_calls() const { return calls_.size(); }

 private:
  struct Call {
    CallId id = kNoCall;
    Time opened_at{};
    Time last_activity{};  // its opening at first
    bool is_answered = false;
    std::optional<Time> object_started_at;
    [[nodiscard]] Time deadline() const;
    [[nodiscard]] bool has_object_timed_out(Time now) const;
  };
  [[nodiscard]] Call* find(CallId id);
  bool close(CallId id, Actions& actions);  // false: there is no such call
  void close_all(Actions& actions);
  void close_longest_idle(Actions& actions);
  void open(Time now, Actions& actions);
  void pause(Duration pause, Time now);
  [[nodiscard]] Duration pause_after_failure(const Call& call, Time now, double jitter);
  // When another call is due, as far as is known now.
  [[nodiscard]] Time next_open_time() const;

  ListDelivery delivery_;
  Backoff rejection_backoff_;
  Backoff reset_backoff_;
  Backoff silence_backoff_;
  Backoff rapid_failure_backoff_;
  std::vector<Call> calls_;
  CallId last_id_ = kNoCall;
  Time not_before_{};  // the end of the current pause
  bool is_started_ = false;
};

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_POLL_SCHEDULE_HPP_
