/// Moves running streams between the two processes of a hot restart.
#ifndef DISPATCHER_ENGINE_STREAM_HANDOVER_HPP_
#define DISPATCHER_ENGINE_STREAM_HANDOVER_HPP_

#include <string>
#include <vector>

#include "engine/engine_context.hpp"
#include "engine/request_table.hpp"
#include "engine/router_runner.hpp"
#include "engine/stream_relay.hpp"

namespace dispatcher::engine {

/// Moves the engine's part of a stream; the caller moves its sockets. Part of the Engine; used on the event
/// loop thread only.
class StreamHandover {
 public:
  StreamHandover(EngineContext& context, RequestTable& requests, RouterRunner& router, StreamRelay& relay)
      : context_(context), requests_(requests), router_(router), relay_(relay) {}

  /// Returns the streams of a frontend that can be handed over, which are those that have started, are not
  /// paused and are not answered yet.
  [[nodiscard]] std::vector<RunningStream> running_streams(const ResponseSink& sink);
  /// Ends a stream here that continues in the other process. Nothing more is sent to its client from here.
  void release(SlotId slot);
  /// Continues a stream of the other process. Its attempt gets the number 0. The router is not notified,
  /// because it has nothing to decide for a running stream.
  [[nodiscard]] SlotId adopt(ResponseSink& sink, SlotId client, const AdoptedStream& stream,
                             SettingsSnapshot settings);

 private:
  EngineContext& context_;
  RequestTable& requests_;
  RouterRunner& router_;
  StreamRelay& relay_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_STREAM_HANDOVER_HPP_
