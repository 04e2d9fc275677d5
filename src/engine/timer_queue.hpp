/// All timers of the program, in one ordered structure, and the clock's types.
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

/// Names a timer of one TimerQueue; ordered by due time, then by age. The default value names none.
struct TimerId {
  Time due{};
  std::uint64_t sequence = 0;  ///< of the queue's timers in the order in which they were added, from 1

  /// Whether it names a timer, which may have run by now.
  [[nodiscard]] bool is_set() const { return sequence != 0; }
  auto operator<=>(const TimerId&) const = default;
};

/// Its driver (daemon::Loop) sleeps until next() and then calls run(); the clock is the driver's. Used on the
/// event loop thread only. Actions run inside run(), may add and drop timers, and must not call run() again.
class TimerQueue {
 public:
  /// Has `action` run once, at `at` or as soon after it as run() is called.
  TimerId add(Time at, std::function<void()> action) {
    const TimerId id{at, ++last_sequence_};
    entries_.emplace(id, std::move(action));
    const bool is_earliest = entries_.begin()->first == id;
    if (is_earliest && on_earlier_deadline_) on_earlier_deadline_();
    return id;
  }
  /// Cancels the timer, if it has not run yet, and clears the handle.
  void drop(TimerId& id) { entries_.erase(std::exchange(id, {})); }

  /// The earliest deadline, if there is any.
  [[nodiscard]] std::optional<Time> next() const {
    if (entries_.empty()) return std::nullopt;
    return entries_.begin()->first.due;
  }
  /// Runs what is due, in order. What an action adds for now or earlier is left to the next call.
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
  /// Called when a timer is added that is due before all others.
  void set_earlier_deadline_callback(std::function<void()> callback) {
    on_earlier_deadline_ = std::move(callback);
  }
  /// Timers that have not run yet.
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  std::map<TimerId, std::function<void()>> entries_;
  std::uint64_t last_sequence_ = 0;  // of the newest timer
  std::function<void()> on_earlier_deadline_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_TIMER_QUEUE_HPP_
