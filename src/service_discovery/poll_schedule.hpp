// Decides when service discovery is called and when calls are closed. It does no I/O and reads no clock: the
// time and the random number of each event are passed in, and it returns which calls to open and to close.
// poll_timing.hpp has its timeouts and the staleness bounds that they guarantee.
#ifndef DISPATCHER_SERVICE_DISCOVERY_POLL_SCHEDULE_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_POLL_SCHEDULE_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "service_discovery/backoff.hpp"

namespace dispatcher::service_discovery {

// How endpoint lists reach this dispatcher, which determines the cost of a call.
enum class ListDelivery {
  // An agent on the same machine pushes the lists. Calls cost nothing, and a call that is open when service
  // discovery recovers is answered at that moment. So at least one call is kept open, except in the pause
  // after a rejection or a failure: if a call isn't answered or a watch goes silent, it stays open and a
  // second call is opened. The first call that is answered becomes the watch, and the other one is closed.
  kPush,
  // The lists are polled from one service that the whole fleet shares. There is one call at a time, and each
  // failure is followed by a pause that depends on the fleet's size.
  kPoll,
};

// The state machine of the calls to service discovery. Owned and driven by EndpointWatcher, on its event
// loop. Makes no callbacks. Times are in microseconds since the Unix epoch.
class PollSchedule {
 public:
  using Time = std::chrono::microseconds;
  using CallId = std::uint32_t;
  static constexpr CallId kNoCall = 0;

  // What the owner must do, in the order of the fields.
  struct Actions {
    std::vector<CallId> close;
    CallId open = kNoCall;
    bool has_timed_out = false;        // a call or the watch received nothing within its timeout
    bool needs_complete_list = false;  // a change may be lost: the next call must request the complete list
  };

  // `dispatcher_count` is the number of dispatchers that call the same service discovery.
  PollSchedule(ListDelivery delivery, int dispatcher_count);

  // Closes all calls and opens one at once.
  [[nodiscard]] Actions restart(Time now);
  // Does the same after a change of address, and resets the backoff after rejections and after rapid
  // failures, which happened at the old address.
  [[nodiscard]] Actions restart_at_new_address(Time now);

  // In the following functions, `jitter` is a uniform random number in [0, 1). Ids of closed calls are
  // ignored.

  // Must be called at next_deadline().
  [[nodiscard]] Actions on_timer(Time now, double jitter);
  // Must be called when the response's status is an error.
  [[nodiscard]] Actions on_rejected(CallId id, Time now, double jitter);
  // Must be called when the connection couldn't be opened, was reset or has ended.
  [[nodiscard]] Actions on_failed(CallId id, Time now, double jitter);
  // Must be called when the response can't be parsed.
  [[nodiscard]] Actions on_unreadable(CallId id, Time now, double jitter);
  // Must be called when the response's head has arrived. The first call that is answered becomes the watch.
  [[nodiscard]] Actions on_answered(CallId id, Time now);
  // Must be called when bytes of the body have arrived. `object_started_at` is the start of the time limit
  // for an incomplete object, or nullopt if there is none.
  void on_data_received(CallId id, Time now, std::optional<Time> object_started_at);

  // Returns when on_timer() is due, or nullopt before the first restart().
  [[nodiscard]] std::optional<Time> next_deadline() const;
  [[nodiscard]] bool is_started() const { return is_started_; }
  [[nodiscard]] std::size_t open_calls() const { return calls_.size(); }

 private:
  struct Call {
    CallId id = kNoCall;
    Time opened_at{};
    Time last_activity{};  // equals opened_at until the first response data
    bool is_answered = false;
    std::optional<Time> object_started_at;
    [[nodiscard]] Time deadline() const;
    [[nodiscard]] bool has_object_timed_out(Time now) const;
  };
  [[nodiscard]] Call* find(CallId id);
  bool close(CallId id, Actions& actions);  // returns false if there is no such call
  void close_all(Actions& actions);
  void close_longest_idle(Actions& actions);
  void open(Time now, Actions& actions);
  void pause(Duration pause, Time now);
  [[nodiscard]] Duration pause_after_failure(const Call& call, Time now, double jitter);
  // Returns when the next call is due if no further event occurs.
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
