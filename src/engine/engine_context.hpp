/// The dependencies that the parts of the engine share.
#ifndef DISPATCHER_ENGINE_ENGINE_CONTEXT_HPP_
#define DISPATCHER_ENGINE_ENGINE_CONTEXT_HPP_

#include "engine/interfaces.hpp"
#include "engine/request_log.hpp"
#include "engine/timer_queue.hpp"

namespace dispatcher::engine {

/// Refers to the engine's timers, logs and collaborators. Owned by the Engine, which outlives its parts. The
/// observers are optional and not owned.
struct EngineContext {
  UpstreamClient& upstream;
  TimerQueue& timers;
  Clock clock;
  Log log;
  RequestLog request_log;
  RequestObserver* request_observer = nullptr;
  HotRestartObserver* hot_restart_observer = nullptr;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_ENGINE_CONTEXT_HPP_
