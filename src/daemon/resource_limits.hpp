// Divides the configured descriptors, or those that the kernel allows if they are fewer, and the configured
// memory between clients, endpoints and other uses, and between the two processes of a hot restart.
#ifndef DISPATCHER_DAEMON_RESOURCE_LIMITS_HPP_
#define DISPATCHER_DAEMON_RESOURCE_LIMITS_HPP_

#include <cstddef>

#include "daemon/config.hpp"
#include "hot_restart/handover_messages.hpp"
#include "http/client_capacity.hpp"
#include "upstream/replica_client.hpp"

namespace dispatcher::daemon {

// The connections of a process.
struct ConnectionLimits {
  std::size_t clients = 0;
  std::size_t endpoints = 0;
};

// Returns what the descriptors of a dispatcher allow all of its processes together.
[[nodiscard]] ConnectionLimits dispatcher_connections(const Config& config);
// Returns the part of each of two processes that both accept clients.
[[nodiscard]] ConnectionLimits half_of(const ConnectionLimits& all);
// Returns the part of the successor of a process that shuts down: what that one does not use.
[[nodiscard]] ConnectionLimits remainder_of(const ConnectionLimits& all,
                                            const hot_restart::ConnectionsInUse& used_by_predecessor);

// Returns the limits and timeouts of the connections to endpoints, of which a process may have
// `max_connections`.
[[nodiscard]] upstream::Options upstream_options(const Config& config, std::size_t max_connections);
// Returns the limits of all client frontends of a process together, which may have `max_clients` connections.
[[nodiscard]] http::ClientLimits client_limits(const Config& config, std::size_t max_clients);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_RESOURCE_LIMITS_HPP_
