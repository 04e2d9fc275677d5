// Hand-over of running streams from a process that shuts down to its successor.
#ifndef DISPATCHER_DAEMON_STREAM_HANDOVER_HPP_
#define DISPATCHER_DAEMON_STREAM_HANDOVER_HPP_

#include "daemon/components.hpp"
#include "net/unique_fd.hpp"

namespace dispatcher::daemon {

// Owned by the Dispatcher and used on its event loop only; the components outlive it.
class StreamHandover {
 public:
  explicit StreamHandover(Components& parts) : parts_(parts) {}

  // One pass over the streams of the platform's clients: each that is between two events is handed to the
  // successor, with both sockets and the unread rest of the current chunk. To be called until no stream is
  // left; does nothing where no successor serves.
  void hand_over();
  // Continues a stream of the predecessor. Where that fails the error is logged and the client's connection
  // closed.
  void adopt(const hot_restart::StreamTransfer& transfer, net::UniqueFd client, net::UniqueFd endpoint);

 private:
  void hand_over(const engine::RunningStream& stream);

  Components& parts_;
  int passes_ = 0;  // calls of hand_over() so far
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_STREAM_HANDOVER_HPP_
