// How the descriptors and the memory of the configuration are divided between clients, endpoints and other
// uses.
#ifndef DISPATCHER_DAEMON_RESOURCE_LIMITS_HPP_
#define DISPATCHER_DAEMON_RESOURCE_LIMITS_HPP_

#include <cstddef>

#include "daemon/config.hpp"
#include "http/server.hpp"
#include "upstream/replica_client.hpp"

namespace dispatcher::daemon {

// Whether another process of the same dispatcher runs beside this one, as during a hot restart: each then
// keeps to half of what one may have.
enum class ProcessCount { kOne, kTwo };

[[nodiscard]] upstream::Options upstream_options(const Config& config, ProcessCount processes);
// `frontends`: client fronts of this process, which share its part equally.
[[nodiscard]] http::ServerOptions server_options(const Config& config, std::size_t frontends,
                                                 ProcessCount processes);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_RESOURCE_LIMITS_HPP_
