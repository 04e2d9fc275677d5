// How the configured descriptors, or those that the kernel allows where they are fewer, and the configured
// memory are divided between clients, endpoints and other uses.
#ifndef DISPATCHER_DAEMON_RESOURCE_LIMITS_HPP_
#define DISPATCHER_DAEMON_RESOURCE_LIMITS_HPP_

#include <cstddef>

#include "daemon/config.hpp"
#include "http/server.hpp"
#include "upstream/replica_client.hpp"

namespace dispatcher::daemon {

// How many processes of one dispatcher run. There are two during a hot restart, and each then uses half of
// the limits of one.
enum class ProcessCount { kOne, kTwo };

[[nodiscard]] constexpr std::size_t count_of(ProcessCount processes) {
  return processes == ProcessCount::kTwo ? 2 : 1;
}

// Limits and times of the connections to endpoints.
[[nodiscard]] upstream::Options upstream_options(const Config& config, ProcessCount processes);
// Limits of one client frontend. `frontends`: how many this process has; they divide its part equally.
[[nodiscard]] http::ServerOptions server_options(const Config& config, std::size_t frontends,
                                                 ProcessCount processes);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_RESOURCE_LIMITS_HPP_
