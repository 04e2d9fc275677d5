// Decides when discovery is called, which calls are kept and when one is given up. Pure: it is told what
// happened, at what time and with which chance, and answers with what to open and to close.
//
// Where lists are pushed, the calls go to an agent on the same machine and cost nothing, and a call that is
// out when discovery is back hears of it in that instant. So a call is out at every moment but in the pause
// after a refusal: one without an answer is not dropped but joined by a second, and so is a watch that fell
// silent. The first one that answers is the watch, and the other is closed.
//
// Where lists are asked for, discovery is one service for the whole fleet: there is one call at a time, and
// each failure is followed by a pause by the fleet's size.
#ifndef DISPATCHER_SERVICE_DISCOVERY_POLL_SCHEDULE_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_POLL_SCHEDULE_HPP_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "service_discovery/backoff.hpp"

namespace dispatcher::service_discovery {

enum class Lists { kPushed, kAskedFor };

class PollSchedule {
 public:
  using Time = std::chrono::microseconds;
  using CallId = std::uint32_t;  // never 0
  struct Orders {
    std::vector<CallId> close;
    CallId open = 0;          // 0: none
    bool silent = false;      // a call or the watch had nothing to say within its limit
    bool unreadable = false;  // what was told last is lost: the whole list is to be asked for
  };

  PollSchedule(Lists lists, int fleet);

  Orders restart(Time now);  // closes all calls and opens one at once
  Orders move(Time now);     // the same, for an address that has refused or failed nothing yet
  // In these, `draw` is uniform in [0, 1).
  Orders tick(Time now, double draw);  // to be called at next()
  Orders rejected(CallId id, Time now, double draw);
  Orders failed(CallId id, Time now, double draw);      // it never came up, was reset or has ended
  Orders unreadable(CallId id, Time now, double draw);  // what it tells can't be relied upon
  Orders answered(CallId id, Time now);                 // the first to be so is the watch
  // The watch said something. `object_since`: when the first byte came of an object that is not whole yet.
  void heard(CallId id, Time now, std::optional<Time> object_since);

  [[nodiscard]] std::optional<Time> next() const;
  [[nodiscard]] bool started() const { return started_; }
  [[nodiscard]] std::size_t calls() const { return calls_.size(); }

 private:
  struct Call {
    CallId id = 0;
    Time opened{}, last{};  // the last sign of life, its opening at first
    bool answered = false;
    std::optional<Time> object_since;
    [[nodiscard]] Time limit() const {
      return last + (answered ? service_discovery::kSilence : service_discovery::kCallLimit);
    }
  };
  Call* find(CallId id);
  bool drop(CallId id, Orders& orders);
  void close_all(Orders& orders);
  void open(Time now, Orders& orders);
  void rest(service_discovery::Duration pause, Time now) { not_before_ = std::max(not_before_, now + pause); }
  service_discovery::Duration pause_after_failure(const Call& call, Time now, double draw);
  [[nodiscard]] Time open_at() const;  // when another call is due, as far as is known now

  Lists lists_;
  service_discovery::Backoff refusals_, resets_, silences_, spinning_;
  std::vector<Call> calls_;
  CallId newest_ = 0;
  Time not_before_{};
  bool started_ = false;
};

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_POLL_SCHEDULE_HPP_
