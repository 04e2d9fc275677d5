// The event loop: Asio's, the clock and the one timer behind all deadlines.
#ifndef BITTERNFERRY_APP_LOOP_HPP_
#define BITTERNFERRY_APP_LOOP_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

#include "core/deadlines.hpp"

namespace bitternferry::app {

class Loop {
 public:
  Loop() : timer_(io_), anchor_(system_now() - steady_now()) {
    deadlines_.on_sooner([this] { arm(); });
  }
  boost::asio::io_context& io() { return io_; }
  core::Deadlines& deadlines() { return deadlines_; }
  // Steady, yet with the origin of Unix time, in which discovery tells the replicas' starts: read once, so
  // that a step of the system's clock moves no deadline.
  core::Time now() const { return anchor_ + steady_now(); }
  core::Clock clock() {
    return [this] { return now(); };
  }
  void run() { io_.run(); }
  void stop() { io_.stop(); }

 private:
  static core::Time steady_now() {
    return std::chrono::duration_cast<core::Time>(std::chrono::steady_clock::now().time_since_epoch());
  }
  static core::Time system_now() {
    return std::chrono::duration_cast<core::Time>(std::chrono::system_clock::now().time_since_epoch());
  }
  void arm() {
    const auto next = deadlines_.next();
    if (!next) return;
    timer_.expires_at(std::chrono::steady_clock::time_point(*next - anchor_));
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;  // armed anew for an earlier one
      deadlines_.run(now());
      arm();
    });
  }

  boost::asio::io_context io_{1};
  boost::asio::steady_timer timer_;
  core::Deadlines deadlines_;
  core::Time anchor_;
};

}  // namespace bitternferry::app

#endif  // BITTERNFERRY_APP_LOOP_HPP_
