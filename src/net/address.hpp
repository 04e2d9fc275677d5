// TCP socket addresses: the aliases used throughout the network code, and their text form.
#ifndef DISPATCHER_NET_ADDRESS_HPP_
#define DISPATCHER_NET_ADDRESS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace dispatcher::net {

/// Boost.Asio's types of TCP sockets and addresses, and the error type of its operations.
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Parses a numeric address with a port, such as "127.0.0.1:3000" or "[::1]:3000". Names are not resolved.
/// Returns nullopt for any other text.
[[nodiscard]] std::optional<tcp::endpoint> parse_endpoint(std::string_view text);

}  // namespace dispatcher::net

#endif  // DISPATCHER_NET_ADDRESS_HPP_
