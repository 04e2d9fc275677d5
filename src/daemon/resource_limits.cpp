#include "daemon/resource_limits.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <limits>

#include "admin/admin_server.hpp"

namespace dispatcher::daemon {

using std::chrono::milliseconds;

namespace {

// Number of rounds of release calls within the time that a reservation may last: several must fit into it.
constexpr int kReleaseRounds = 6;
// Minimum time between two rounds of release calls, however short a reservation may last, so that endpoints
// are not flooded with calls.
constexpr engine::Duration kMinReleaseInterval = milliseconds(20);
// Percentages of the descriptors that are left for connections: those to endpoints and those from clients.
constexpr std::size_t kEndpointPercent = 46;
constexpr std::size_t kClientPercent = 54;
// Maximum number of connections from clients of a process, however many descriptors there are.
constexpr std::size_t kMaxClients = 500;
constexpr std::size_t kBytesPerMegabyte = std::size_t{1024} * 1024;
// The part of the configured memory that request bodies may use is one divided by this. A body is in memory
// up to three times: as received, kept for a retry, and in the send buffer.
constexpr std::size_t kBodyMemoryDivisor = 8;
// Descriptors that are reserved for other uses than client and endpoint connections: listeners, files and the
// event loop.
constexpr std::size_t kInternalDescriptors = 32;
// Includes descriptors for admin connections, so that operators can connect however many clients and
// endpoints are connected.
constexpr std::size_t kSpareDescriptors = kInternalDescriptors + admin::kMaxConnections;

// Returns the number of descriptors that the kernel lets this process open, which may be lower than the
// configured one. If that were ignored, clients would take the descriptors that are kept for discovery,
// endpoints and releases.
std::size_t max_open_files() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return std::numeric_limits<std::size_t>::max();
  return limit.rlim_cur;
}

std::size_t connection_descriptors(const Config& config) {
  const std::size_t descriptors = std::min(config.max_descriptors, max_open_files());
  return descriptors - std::min(kSpareDescriptors, descriptors / 2);
}

std::size_t remainder_of(std::size_t all, std::size_t used) { return all > used ? all - used : 1; }

}  // namespace

ConnectionLimits dispatcher_connections(const Config& config) {
  const std::size_t descriptors = connection_descriptors(config);
  return {descriptors * kClientPercent / 100, descriptors * kEndpointPercent / 100};
}

ConnectionLimits half_of(const ConnectionLimits& all) { return {all.clients / 2, all.endpoints / 2}; }

ConnectionLimits remainder_of(const ConnectionLimits& all,
                              const hot_restart::ConnectionsInUse& used_by_predecessor) {
  return {remainder_of(all.clients, used_by_predecessor.clients),
          remainder_of(all.endpoints, used_by_predecessor.endpoints)};
}

upstream::Options upstream_options(const Config& config, std::size_t max_connections) {
  const routing::Settings& settings = config.settings;
  upstream::Options options;
  options.connect_timeout = settings.connect_timeout;
  options.idle_timeout = settings.idle_timeout;
  options.release_round_interval =
      std::max<engine::Duration>(kMinReleaseInterval, settings.reservation_limit / kReleaseRounds);
  options.drain_grace = settings.drain_grace;
  options.release_repeat_interval =
      std::max<engine::Duration>(kMinReleaseInterval, settings.reservation_limit * 2 / 3);
  options.max_connections = std::min(options.max_connections, max_connections);
  options.max_idle_total = std::min(options.max_idle_total, options.max_connections / 2);
  return options;
}

http::ClientLimits client_limits(const Config& config, std::size_t max_clients) {
  return http::ClientLimits::of(std::min(kMaxClients, max_clients),
                                config.max_memory_mb * kBytesPerMegabyte / kBodyMemoryDivisor);
}

}  // namespace dispatcher::daemon
