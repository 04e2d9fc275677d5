// All deadlines of the program, in one ordered structure. Whoever drives it asks for the next one, sleeps
// until then and calls run(); the clock is the caller's.
#ifndef DISPATCHER_ENGINE_TIMER_QUEUE_HPP_
#define DISPATCHER_ENGINE_TIMER_QUEUE_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace dispatcher::engine {

using Time = std::chrono::microseconds;  // since the origin of the dispatcher's clock, the Unix epoch
using Duration = std::chrono::microseconds;
using Clock = std::function<Time()>;

class TimerQueue {
 public:
  using Id = std::pair<Time, std::uint64_t>;  // ordered by time, then by age; {} names none

  Id add(Time at, std::function<void()> action) {
    const Id id{at, ++last_};
    entries_.emplace(id, std::move(action));
    if (entries_.begin()->first == id && on_sooner_) on_sooner_();
    return id;
  }
  // Drops the deadline, if it is still to come, and clears the handle.
  void drop(Id& id) { entries_.erase(std::exchange(id, {})); }

  [[nodiscard]] std::optional<Time> next() const {
    if (entries_.empty()) return std::nullopt;
    return entries_.begin()->first.first;
  }
  // Runs what is due, in order. What an action adds for now or earlier waits for the next call.
  void run(Time now) {
    const std::uint64_t newest = last_;
    for (auto it = entries_.begin(); it != entries_.end() && it->first.first <= now;) {
      if (it->first.second > newest) {
        ++it;
        continue;
      }
      const auto action = std::move(it->second);
      entries_.erase(it);
      action();
      it = entries_.begin();
    }
  }
  void on_sooner(std::function<void()> action) { on_sooner_ = std::move(action); }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  std::map<Id, std::function<void()>> entries_;
  std::uint64_t last_ = 0;
  std::function<void()> on_sooner_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_TIMER_QUEUE_HPP_
