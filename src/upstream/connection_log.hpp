// The reasons for which connections to endpoints are closed, and the log of closed connections.
#ifndef DISPATCHER_UPSTREAM_CONNECTION_LOG_HPP_
#define DISPATCHER_UPSTREAM_CONNECTION_LOG_HPP_

#include <functional>
#include <string_view>

#include "routing/identifiers.hpp"

namespace dispatcher::upstream {

// Why the dispatcher closes a connection.
enum class CloseReason {
  kIdleTimeout,       // idle for so long that the endpoint may close it
  kEvicted,           // idle, and closed to make room for another connection
  kStale,             // found closed, or with unsolicited bytes, when it was to be reused
  kUnsolicitedBytes,  // bytes arrived while it was idle
  kEndpointDrained,   // idle, and its endpoint accepts no new requests
  kEndpointMoved,     // its endpoint has a new address
  kNotKept,           // its endpoint has its maximum of idle connections
  kResponseEnded,     // its response has ended and does not allow another exchange
  kExchangeFailed,    // its exchange failed; an attempt's AttemptEndReason says why
  kAttemptEnded,      // its attempt was ended by the dispatcher
  kReleaseEnded,      // its release was confirmed by another endpoint, or has ended
  kHandedOver,        // its stream continues in another process
};

// Writes one line for each connection that is closed. A default-constructed log writes nothing.
class ConnectionLog {
 public:
  using Sink = std::function<void(std::string_view)>;
  ConnectionLog() = default;
  explicit ConnectionLog(Sink sink) : sink_(std::move(sink)) {}

  // Logs that a connection to `endpoint` was closed. `request` is the request whose exchange the connection
  // carried, or empty if it carried none.
  void log_closed(const routing::EndpointId& endpoint, const routing::RequestId& request,
                  CloseReason reason) const;

 private:
  Sink sink_;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_CONNECTION_LOG_HPP_
