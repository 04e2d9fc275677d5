// Streams that pass from a process which ends to the one that replaces it.
#ifndef DISPATCHER_DAEMON_STREAM_HANDOVER_HPP_
#define DISPATCHER_DAEMON_STREAM_HANDOVER_HPP_

#include "daemon/components.hpp"
#include "net/unique_fd.hpp"

namespace dispatcher::daemon {

// Used on the event loop thread only; refers to the components, which outlive it.
class StreamHandover {
 public:
  explicit StreamHandover(Components& parts) : parts_(parts) {}

  // One pass over the streams of the platform's clients: each that stands between two events goes to the
  // process that replaces this one, with both sockets and what is left of the chunk being read. To be called
  // until none is left; does nothing where no process takes over.
  void hand_over();
  // A stream that began at the process before this one goes on here. One that can't is logged and its
  // client's connection ended.
  void adopt(const hot_restart::StreamTransfer& transfer, net::UniqueFd client, net::UniqueFd endpoint);

 private:
  void hand_over(const engine::RunningStream& stream);

  Components& parts_;
  int passes_ = 0;
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_STREAM_HANDOVER_HPP_
