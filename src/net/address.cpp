// Parsing of numeric socket addresses.
#include "net/address.hpp"

#include <charconv>
#include <cstdint>
#include <string>

namespace dispatcher::net {

namespace {

std::optional<std::uint16_t> parse_port(std::string_view digits) {
  std::uint16_t port = 0;
  const char* const last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, port);
  if (error != std::errc() || end != last) return std::nullopt;
  return port;
}

bool is_bracketed(std::string_view text) {
  return text.size() > 2 && text.front() == '[' && text.back() == ']';
}

}  // namespace

std::optional<tcp::endpoint> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto port = parse_port(text.substr(colon + 1));
  if (!port) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  if (is_bracketed(host)) host = host.substr(1, host.size() - 2);
  error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error) return std::nullopt;
  return tcp::endpoint(address, *port);
}

}  // namespace dispatcher::net
