// Parses /control/replicas/ID/offline and /control/replicas/ID/online.
#include "admin/endpoint_command.hpp"

#include <algorithm>
#include <cctype>

namespace dispatcher::admin {

namespace {

constexpr std::string_view kEndpointsPrefix = "/control/replicas/";
constexpr std::size_t kMaxIdLength = 128;  // in characters; longer than any endpoint's ID

bool is_id_character(unsigned char byte) {
  constexpr std::string_view kPunctuation = "-_.:~";
  return std::isalnum(byte) != 0 || kPunctuation.find(static_cast<char>(byte)) != std::string_view::npos;
}

}  // namespace

std::optional<EndpointCommand> parse_endpoint_command(std::string_view path) {
  if (!path.starts_with(kEndpointsPrefix)) return std::nullopt;
  path.remove_prefix(kEndpointsPrefix.size());
  const std::size_t slash = path.find('/');
  if (slash == std::string_view::npos || slash == 0 || slash > kMaxIdLength) return std::nullopt;
  const std::string_view endpoint = path.substr(0, slash);
  const std::string_view state = path.substr(slash + 1);
  if (!std::all_of(endpoint.begin(), endpoint.end(), is_id_character)) return std::nullopt;
  if (state != "offline" && state != "online") return std::nullopt;
  using engine::AdministrativeState;
  return EndpointCommand{
      endpoint, state == "offline" ? AdministrativeState::kDrained : AdministrativeState::kInService};
}

}  // namespace dispatcher::admin
