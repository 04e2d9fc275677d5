/// Passes events to the router, one at a time, and the resulting actions to a handler.
#ifndef DISPATCHER_ENGINE_ROUTER_RUNNER_HPP_
#define DISPATCHER_ENGINE_ROUTER_RUNNER_HPP_

#include <cstdint>
#include <deque>
#include <functional>

#include "engine/timer_queue.hpp"
#include "routing/router.hpp"

namespace dispatcher::engine {

/// Owns the router. Part of the Engine; used on the event loop thread only.
class RouterRunner {
 public:
  using ActionHandler = std::function<void(const routing::Action&)>;

  /// Throws std::invalid_argument that names the setting that the router does not accept.
  RouterRunner(const routing::Settings& settings, std::uint64_t seed, Clock clock)
      : clock_(std::move(clock)), router_(settings, seed) {}

  /// Must be called before the first event.
  void set_action_handler(ActionHandler handler) { execute_ = std::move(handler); }

  /// Passes an event to the router and executes the resulting actions before returning. An event that occurs
  /// while actions are being executed is queued and handled by the outermost call.
  void handle(routing::Event event);

  [[nodiscard]] routing::LearnedState learned_state() const { return router_.learned_state(); }

 private:
  Clock clock_;
  routing::Router router_;
  ActionHandler execute_;
  std::deque<routing::Event> queue_;
  bool is_handling_ = false;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_ROUTER_RUNNER_HPP_
