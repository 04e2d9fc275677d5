/// Moves running streams from one process of a hot restart to the other.
#ifndef DISPATCHER_ENGINE_STREAM_HANDOVER_HPP_
#define DISPATCHER_ENGINE_STREAM_HANDOVER_HPP_

#include <string>
#include <vector>

#include "engine/engine_context.hpp"
#include "engine/request_table.hpp"
#include "engine/router_runner.hpp"
#include "engine/stream_relay.hpp"

namespace dispatcher::engine {

/// Part of the Engine; used on the event loop thread only. The sockets of a stream are moved by the caller.
class StreamHandover {
 public:
  StreamHandover(EngineContext& context, RequestTable& requests, RouterRunner& router, StreamRelay& relay)
      : context_(context), requests_(requests), router_(router), relay_(relay) {}

  /// The streams of a frontend that can be handed over: those that have started and aren't paused.
  [[nodiscard]] std::vector<RunningStream> running_streams(const ResponseSink& sink);
  /// The stream continues at the other process: here it ends, and nothing is sent to its client.
  void release(SlotId slot);
  /// Continues a stream of the other process; its attempt has number 0. The router isn't notified: it has
  /// nothing to decide for a running stream.
  [[nodiscard]] SlotId adopt(ResponseSink& sink, SlotId client, const RequestId& id,
                             const EndpointId& endpoint, SettingsSnapshot settings);

 private:
  EngineContext& context_;
  RequestTable& requests_;
  RouterRunner& router_;
  StreamRelay& relay_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_STREAM_HANDOVER_HPP_
