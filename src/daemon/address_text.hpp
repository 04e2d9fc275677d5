// Formats addresses for log lines.
#ifndef DISPATCHER_DAEMON_ADDRESS_TEXT_HPP_
#define DISPATCHER_DAEMON_ADDRESS_TEXT_HPP_

#include <string>

#include "net/connection.hpp"

namespace dispatcher::daemon {

// Returns an address and port such as "127.0.0.1:3000".
[[nodiscard]] inline std::string to_text(const net::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_ADDRESS_TEXT_HPP_
