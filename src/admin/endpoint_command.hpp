// The admin command that a request path names.
#ifndef DISPATCHER_ADMIN_ENDPOINT_COMMAND_HPP_
#define DISPATCHER_ADMIN_ENDPOINT_COMMAND_HPP_

#include <optional>
#include <string_view>

#include "engine/interfaces.hpp"

namespace dispatcher::admin {

/// A command that drains an endpoint ("offline") or returns it to service ("online").
struct EndpointCommand {
  engine::EndpointId endpoint;
  engine::AdministrativeState state{};
};

/// Parses a path such as /control/replicas/ID/offline. Returns nullopt if it is not such a command.
[[nodiscard]] std::optional<EndpointCommand> parse_endpoint_command(std::string_view path);

}  // namespace dispatcher::admin

#endif  // DISPATCHER_ADMIN_ENDPOINT_COMMAND_HPP_
