// The administrative command that a request path names.
#ifndef DISPATCHER_ADMIN_ENDPOINT_COMMAND_HPP_
#define DISPATCHER_ADMIN_ENDPOINT_COMMAND_HPP_

#include <optional>
#include <string_view>

#include "engine/interfaces.hpp"

namespace dispatcher::admin {

/// Takes an endpoint out of service or back into it.
struct EndpointCommand {
  engine::EndpointId endpoint;
  /// true: drain the endpoint ("offline"); false: return it to service ("online").
  bool is_drained = false;
};

/// Parses a path such as /control/replicas/ID/offline. Returns nullopt where it is no such command.
[[nodiscard]] std::optional<EndpointCommand> parse_endpoint_command(std::string_view path);

}  // namespace dispatcher::admin

#endif  // DISPATCHER_ADMIN_ENDPOINT_COMMAND_HPP_
