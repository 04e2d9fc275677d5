// Hands running streams to another process of the dispatcher, for a hot restart.
#ifndef DISPATCHER_UPSTREAM_STREAM_HANDOVER_HPP_
#define DISPATCHER_UPSTREAM_STREAM_HANDOVER_HPP_

#include <cstdint>
#include <string>

#include "net/unique_fd.hpp"
#include "upstream/attempt_runner.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/exchange_runner.hpp"

namespace dispatcher::upstream {

// A running stream without its attempt: all that another process needs to read on.
struct DetachedStream {
  net::UniqueFd socket;
  EndpointId endpoint;
  std::string unread;  // bytes of the response that were received and not parsed
  ResponsePosition position;
};

// Detaches streams from this process and adopts those of another, as http::Server does on the clients' side.
// Owned by ReplicaClient; runs on the event loop's thread.
class StreamHandover {
 public:
  StreamHandover(ConnectionPool& pool, ExchangeRunner& exchanges, AttemptRunner& attempts)
      : pool_(pool), exchanges_(exchanges), attempts_(attempts) {}

  // Stops reading the attempt's response. True: it is between two events with no read under way, and may
  // be detached; else try again later.
  [[nodiscard]] bool suspend_stream(AttemptId attempt);
  // Reads the response again, where suspend_stream() had stopped that.
  void resume_stream(AttemptId attempt);
  // Ends the attempt here without closing the connection itself. Only after suspend_stream() returned true.
  [[nodiscard]] DetachedStream detach_stream(AttemptId attempt);
  // Continues a detached stream as `attempt`. Throws where the socket is no TCP socket.
  void adopt_stream(AttemptId attempt, DetachedStream stream);

 private:
  ConnectionPool& pool_;
  ExchangeRunner& exchanges_;
  AttemptRunner& attempts_;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_STREAM_HANDOVER_HPP_
