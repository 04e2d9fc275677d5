// Hands over running streams from a process that shuts down to its successor.
#ifndef DISPATCHER_DAEMON_STREAM_HANDOVER_HPP_
#define DISPATCHER_DAEMON_STREAM_HANDOVER_HPP_

#include "daemon/components.hpp"
#include "net/unique_fd.hpp"

namespace dispatcher::daemon {

// Hands over streams to the successor and adopts those of the predecessor. Owned by the Dispatcher and used
// on its event loop only; the components outlive it.
class StreamHandover {
 public:
  explicit StreamHandover(Components& components) : components_(components) {}

  // Makes one pass over the streams of the platform's clients. Hands each stream that is between two events
  // to the successor, with both sockets and the unread rest of the current chunk. A stream that the successor
  // can't receive now continues here, as all do if no successor serves. Must be called until no stream is
  // left.
  void hand_over();
  // Continues a stream of the predecessor. If that fails, the error is logged and the client's connection is
  // closed.
  void adopt(const hot_restart::StreamTransfer& transfer, net::UniqueFd client, net::UniqueFd endpoint);

 private:
  void hand_over(const engine::RunningStream& stream);
  [[nodiscard]] bool transfer(const engine::RunningStream& stream);
  void resume(const engine::RunningStream& stream);

  Components& components_;
  int passes_ = 0;  // passes over the streams so far
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_STREAM_HANDOVER_HPP_
