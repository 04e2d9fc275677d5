/// Passes the events of a streamed response on to its client, with backpressure and an idle timeout.
#ifndef DISPATCHER_ENGINE_STREAM_RELAY_HPP_
#define DISPATCHER_ENGINE_STREAM_RELAY_HPP_

#include <string_view>

#include "engine/attempt_manager.hpp"
#include "engine/engine_context.hpp"
#include "engine/request_table.hpp"
#include "engine/router_runner.hpp"

namespace dispatcher::engine {

/// Relays events from the upstream client to the sinks. Part of the Engine; used on the event loop thread
/// only.
class StreamRelay {
 public:
  StreamRelay(EngineContext& context, RequestTable& requests, RouterRunner& router, AttemptManager& attempts)
      : context_(context), requests_(requests), router_(router), attempts_(attempts) {}

  /// Passes on complete events of an attempt's response. The first events for a request make their attempt
  /// its streaming attempt. An attempt that begins to respond after its request was answered is cancelled.
  void on_events(AttemptId id, std::string_view events);
  /// Continues a paused stream. Called when the client's buffer has capacity again.
  void resume(SlotId slot);
  /// Awaits the next event of the request's stream, which is aborted if none arrives in time, counted from
  /// `since`. The request must exist.
  void await_event(SlotId slot, Time since);

 private:
  void start_stream(AttemptId id, const ActiveAttempt& active);
  void on_idle(SlotId slot);

  EngineContext& context_;
  RequestTable& requests_;
  RouterRunner& router_;
  AttemptManager& attempts_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_STREAM_RELAY_HPP_
