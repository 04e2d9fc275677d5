// The event loop: an Asio context, the clock, and the one timer that drives the timer queue.
#ifndef DISPATCHER_DAEMON_LOOP_HPP_
#define DISPATCHER_DAEMON_LOOP_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "engine/timer_queue.hpp"

namespace dispatcher::daemon {

// Runs all handlers and timers of one process, on the thread that calls run(). Owns the timer queue.
class Loop {
 public:
  Loop() : timer_(io_), unix_offset_(system_now() - steady_now()) {
    timers_.set_earlier_deadline_callback([this] { arm(); });
  }
  // Uses the caller's clock, for tests in virtual time. The caller also runs the timer queue by that clock,
  // which is `clock_offset` ahead of the monotonic one.
  explicit Loop(engine::Clock clock, engine::Duration clock_offset = {})
      : timer_(io_), unix_offset_(clock_offset), clock_(std::move(clock)) {}
  boost::asio::io_context& io() { return io_; }
  engine::TimerQueue& timers() { return timers_; }
  // Returns the time of a steady clock that counts from the Unix epoch, since service discovery reports start
  // times in Unix time. The system clock is read only once, at construction, so that later adjustments of it
  // move no deadline.
  [[nodiscard]] engine::Time now() const { return clock_ ? clock_() : unix_offset_ + steady_now(); }
  // now()'s clock minus the system's monotonic clock, and conversions between the two. All processes of the
  // machine share the monotonic clock, whereas each reads the system clock when it starts: that may have been
  // adjusted in between.
  [[nodiscard]] engine::Duration clock_offset() const { return unix_offset_; }
  [[nodiscard]] engine::Time to_monotonic(engine::Time time) const { return time - unix_offset_; }
  [[nodiscard]] engine::Time from_monotonic(engine::Time time) const { return time + unix_offset_; }
  engine::Clock clock() {
    return [this] { return now(); };
  }
  void run() { io_.run(); }
  void stop() { io_.stop(); }

 private:
  static engine::Time steady_now() {
    return std::chrono::duration_cast<engine::Time>(std::chrono::steady_clock::now().time_since_epoch());
  }
  static engine::Time system_now() {
    return std::chrono::duration_cast<engine::Time>(std::chrono::system_clock::now().time_since_epoch());
  }
  void arm() {
    const auto next = timers_.next();
    if (!next) return;
    timer_.expires_at(std::chrono::steady_clock::time_point(*next - unix_offset_));
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;  // cancelled, because arm() was called for an earlier deadline
      timers_.run(now());
      arm();
    });
  }

  boost::asio::io_context io_{1};
  boost::asio::steady_timer timer_;
  engine::TimerQueue timers_;
  engine::Time unix_offset_{};  // Unix time minus steady time, at construction
  engine::Clock clock_;         // empty if the system's clock is used
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_LOOP_HPP_
