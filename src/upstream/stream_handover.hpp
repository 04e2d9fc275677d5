// Hands running streams over to another process of the dispatcher in a hot restart.
#ifndef DISPATCHER_UPSTREAM_STREAM_HANDOVER_HPP_
#define DISPATCHER_UPSTREAM_STREAM_HANDOVER_HPP_

#include <cstdint>
#include <string>

#include "net/unique_fd.hpp"
#include "upstream/attempt_runner.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/exchange_runner.hpp"

namespace dispatcher::upstream {

// A running stream without its attempt: everything that another process needs to continue reading it.
struct DetachedStream {
  net::UniqueFd socket;
  EndpointId endpoint;
  std::string unread;  // bytes of the response that were received and not parsed
  ResponsePosition position;
};

// Detaches streams from this process and adopts streams of another one, as http::Server does on the side of
// the clients. Owned by ReplicaClient; runs on the event loop's thread.
class StreamHandover {
 public:
  StreamHandover(ConnectionPool& pool, ExchangeRunner& exchanges, AttemptRunner& attempts)
      : pool_(pool), exchanges_(exchanges), attempts_(attempts) {}

  // Stops reading the attempt's response. Returns true if the stream is between two events with no read
  // active, so that it may be detached. If it returns false, the caller should try again later.
  [[nodiscard]] bool suspend_stream(AttemptId attempt);
  // Resumes reading the response if suspend_stream() has stopped it.
  void resume_stream(AttemptId attempt);
  // Ends the attempt in this process without closing the TCP connection. Must be called only after
  // suspend_stream() has returned true.
  [[nodiscard]] DetachedStream detach_stream(AttemptId attempt);
  // Continues a detached stream as `attempt`. Throws if the socket is not a TCP socket.
  void adopt_stream(AttemptId attempt, DetachedStream stream);

 private:
  ConnectionPool& pool_;
  ExchangeRunner& exchanges_;
  AttemptRunner& attempts_;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_STREAM_HANDOVER_HPP_
