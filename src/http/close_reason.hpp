/// Why connections of clients are closed.
#ifndef DISPATCHER_HTTP_CLOSE_REASON_HPP_
#define DISPATCHER_HTTP_CLOSE_REASON_HPP_

#include <string_view>

namespace dispatcher::http {

/// What ends a client's connection, for the log.
enum class CloseReason {
  kClientClosed,   ///< the client closed it, or it broke
  kNoRequest,      ///< no request came in time
  kWriteTimeout,   ///< the client did not take its answer
  kTooMuchInput,   ///< the client sent more than may wait behind its request
  kLastResponse,   ///< its response was its last: the client or this side said so
  kStreamAborted,  ///< its stream broke off
  kDraining,       ///< idle, and the process is ending
  kEvicted,        ///< another client needed its place
  kHandedOver,     ///< its stream continues in another process
};

/// The name that the log has.
[[nodiscard]] std::string_view name_of(CloseReason reason);

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_CLOSE_REASON_HPP_
