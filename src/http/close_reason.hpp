// Reasons for closing clients' connections.
#ifndef DISPATCHER_HTTP_CLOSE_REASON_HPP_
#define DISPATCHER_HTTP_CLOSE_REASON_HPP_

#include <string_view>

namespace dispatcher::http {

/// Why a client's connection is closed, for the log.
enum class CloseReason {
  kClientClosed,   ///< the client closed the connection, or it failed
  kNoRequest,      ///< no request arrived in time
  kWriteTimeout,   ///< the client did not read its answer in time
  kTooMuchInput,   ///< the client sent more bytes behind its request than may wait there
  kLastResponse,   ///< its last response was sent, as announced by the client or this side
  kStreamAborted,  ///< its stream was aborted
  kDraining,       ///< the connection was idle while the process drained
  kEvicted,        ///< evicted in favor of another client
  kHandedOver,     ///< its stream moved to another process
};

/// Returns the reason's name in the log.
[[nodiscard]] std::string_view name_of(CloseReason reason);

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_CLOSE_REASON_HPP_
