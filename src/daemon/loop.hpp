// The event loop: Asio's, the clock and the one timer behind all deadlines.
#ifndef DISPATCHER_DAEMON_LOOP_HPP_
#define DISPATCHER_DAEMON_LOOP_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

#include "engine/timer_queue.hpp"

namespace dispatcher::daemon {

// Runs everything of one process, on the thread that calls run(). Owns the timer queue.
class Loop {
 public:
  Loop() : timer_(io_), anchor_(system_now() - steady_now()) {
    timers_.set_earlier_deadline_callback([this] { arm(); });
  }
  boost::asio::io_context& io() { return io_; }
  engine::TimerQueue& timers() { return timers_; }
  // Steady, yet with the origin of Unix time, in which discovery tells the replicas' starts: read once, so
  // that a step of the system's clock moves no deadline.
  [[nodiscard]] engine::Time now() const { return anchor_ + steady_now(); }
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
    timer_.expires_at(std::chrono::steady_clock::time_point(*next - anchor_));
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;  // armed anew for an earlier one
      timers_.run(now());
      arm();
    });
  }

  boost::asio::io_context io_{1};
  boost::asio::steady_timer timer_;
  engine::TimerQueue timers_;
  engine::Time anchor_;
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_LOOP_HPP_
