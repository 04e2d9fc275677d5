// HTTP-level checks that a request must pass before it reaches a handler.
#ifndef DISPATCHER_HTTP_REQUEST_CHECKS_HPP_
#define DISPATCHER_HTTP_REQUEST_CHECKS_HPP_

#include <optional>
#include <string>

#include "http/message_reader.hpp"

namespace dispatcher::http {

/// The error response to a rejected request.
struct RequestRejection {
  int status = 400;
  std::string message;
};

/// Checks a request as far as it has been read. `read_status` is the result of the last read(). Returns
/// nullopt if no error has been found so far.
[[nodiscard]] std::optional<RequestRejection> check_request(RequestReader& reader, ReadStatus read_status);

/// Whether the client waits for an interim response before it sends the body (RFC 9110, section 10.1.1). The
/// head must be complete.
[[nodiscard]] bool expects_continue(RequestReader& reader);

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_REQUEST_CHECKS_HPP_
