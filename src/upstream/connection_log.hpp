// Why connections to replicas are closed, and the log of it.
#ifndef DISPATCHER_UPSTREAM_CONNECTION_LOG_HPP_
#define DISPATCHER_UPSTREAM_CONNECTION_LOG_HPP_

#include <functional>
#include <string_view>

#include "routing/identifiers.hpp"

namespace dispatcher::upstream {

// Why this side closes a connection.
enum class CloseReason {
  kIdleTimeout,       // idle for so long that the replica may close it
  kEvicted,           // idle, and another connection needs its place
  kStale,             // found closed, or with unsolicited bytes, when it was to be used again
  kUnsolicitedBytes,  // bytes came while it was idle
  kEndpointDrained,   // idle, and its endpoint takes nothing more
  kEndpointMoved,     // its endpoint has another address now
  kNotKept,           // enough idle connections are kept
  kResponseEnded,     // its response does not allow another exchange
  kExchangeFailed,    // see the attempt's end
  kAttemptEnded,      // its attempt was ended from this side
  kReleaseEnded,      // its release was confirmed elsewhere, or is over
  kHandedOver,        // continues in another process
};

// One line for each connection that is closed. Off by default.
class ConnectionLog {
 public:
  using Sink = std::function<void(std::string_view)>;
  ConnectionLog() = default;
  explicit ConnectionLog(Sink sink) : sink_(std::move(sink)) {}

  // `request`: that the connection carried an exchange of; empty: none.
  void log_closed(const routing::EndpointId& endpoint, const routing::RequestId& request,
                  CloseReason reason) const;

 private:
  Sink sink_;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_CONNECTION_LOG_HPP_
