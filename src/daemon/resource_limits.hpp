// Divides the configured descriptors, or those that the kernel allows if they are fewer, and the configured
// memory between clients, endpoints and other uses.
#ifndef DISPATCHER_DAEMON_RESOURCE_LIMITS_HPP_
#define DISPATCHER_DAEMON_RESOURCE_LIMITS_HPP_

#include <cstddef>

#include "daemon/config.hpp"
#include "http/client_capacity.hpp"
#include "upstream/replica_client.hpp"

namespace dispatcher::daemon {

// The number of running processes of one dispatcher. There are two during a hot restart, each of which then
// uses half of the limits.
enum class ProcessCount { kOne, kTwo };

[[nodiscard]] constexpr std::size_t count_of(ProcessCount processes) {
  return processes == ProcessCount::kTwo ? 2 : 1;
}

// Returns the limits and timeouts of the connections to endpoints.
[[nodiscard]] upstream::Options upstream_options(const Config& config, ProcessCount processes);
// Returns the limits of all client frontends of a process together.
[[nodiscard]] http::ClientLimits client_limits(const Config& config, ProcessCount processes);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_RESOURCE_LIMITS_HPP_
