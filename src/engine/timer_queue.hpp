/// The timer queue, which holds all timers of the program, and the clock's types.
#ifndef DISPATCHER_ENGINE_TIMER_QUEUE_HPP_
#define DISPATCHER_ENGINE_TIMER_QUEUE_HPP_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace dispatcher::engine {

using Time = std::chrono::microseconds;  ///< since the origin of the dispatcher's clock, the Unix epoch
using Duration = std::chrono::microseconds;
using Clock = std::function<Time()>;

/// Identifies a timer of one TimerQueue. Ordered by due time, then by age. The default value identifies none.
struct TimerId {
  Time due{};
  std::uint64_t sequence = 0;  ///< position in the order in which the queue's timers were added, from 1

  /// Returns whether this identifies a timer, which may already have run.
  [[nodiscard]] bool is_set() const { return sequence != 0; }
  auto operator<=>(const TimerId&) const = default;
};

/// An ordered queue of timers. Its driver (daemon::Loop) sleeps until next() and then calls run() with the
/// time of its own clock. Used on the event loop thread only. Actions run inside run(); they may add and drop
/// timers, but must not call run().
class TimerQueue {
 public:
  /// Schedules `action` to run once, at `at` or at the first call of run() after that.
  TimerId add(Time at, std::function<void()> action) {
    const TimerId id{at, ++last_sequence_};
    entries_.emplace(id, std::move(action));
    const bool is_earliest = entries_.begin()->first == id;
    if (is_earliest && on_earlier_deadline_) on_earlier_deadline_();
    return id;
  }
  /// Cancels the timer if it has not run yet, and clears `id`.
  void drop(TimerId& id) { entries_.erase(std::exchange(id, {})); }

  /// Returns the due time of the earliest timer, or nullopt if there is none.
  [[nodiscard]] std::optional<Time> next() const {
    if (entries_.empty()) return std::nullopt;
    return entries_.begin()->first.due;
  }
  /// Runs the timers that are due, in order. A timer that an action adds runs in a later call, even if it is
  /// already due.
  void run(Time now) {
    const std::uint64_t newest = last_sequence_;
    for (auto it = entries_.begin(); it != entries_.end() && it->first.due <= now;) {
      if (it->first.sequence > newest) {
        ++it;
        continue;
      }
      const auto action = std::move(it->second);
      entries_.erase(it);
      action();
      it = entries_.begin();
    }
  }
  /// Sets the callback that is called when a timer is added that is due before all others.
  void set_earlier_deadline_callback(std::function<void()> callback) {
    on_earlier_deadline_ = std::move(callback);
  }
  /// Returns the number of timers that have neither run nor been dropped.
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  std::map<TimerId, std::function<void()>> entries_;
  std::uint64_t last_sequence_ = 0;  // of the newest timer
  std::function<void()> on_earlier_deadline_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_TIMER_QUEUE_HPP_
