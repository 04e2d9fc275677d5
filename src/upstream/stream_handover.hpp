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

// What another process needs, besides the socket, to continue reading a stream.
struct StreamState {
  EndpointId endpoint;
  std::string unread;  // bytes of the response that were received and not parsed
  ResponsePosition position;
};

// A suspended stream of this process, which still owns the socket.
struct SuspendedStream {
  int socket = -1;
  StreamState state;
};

// Suspends and detaches streams of this process, and adopts streams of another one, as http::Server does on
// the side of the clients. Owned by ReplicaClient; runs on the event loop's thread.
class StreamHandover {
 public:
  StreamHandover(ConnectionPool& pool, ExchangeRunner& exchanges, AttemptRunner& attempts)
      : pool_(pool), exchanges_(exchanges), attempts_(attempts) {}

  // Stops reading the attempt's response. Returns true if the stream is between two events with no read
  // active, so that another process may continue it. If it returns false, the caller should try again later.
  [[nodiscard]] bool suspend_stream(AttemptId attempt);
  // Returns what the other process needs of a stream for which suspend_stream() has returned true.
  [[nodiscard]] SuspendedStream suspended_stream(AttemptId attempt) const;
  // Resumes reading the response if suspend_stream() has stopped it.
  void resume_stream(AttemptId attempt);
  // Ends the attempt in this process once the other one has the stream's socket, which keeps the TCP
  // connection open.
  void detach_stream(AttemptId attempt);
  // Continues a stream of the other process as `attempt`. Throws if the socket is not a TCP socket.
  void adopt_stream(AttemptId attempt, net::UniqueFd socket, const StreamState& state);

 private:
  ConnectionPool& pool_;
  ExchangeRunner& exchanges_;
  AttemptRunner& attempts_;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_STREAM_HANDOVER_HPP_
