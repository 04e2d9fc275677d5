// Limits and times of the connections to replicas.
#ifndef DISPATCHER_UPSTREAM_OPTIONS_HPP_
#define DISPATCHER_UPSTREAM_OPTIONS_HPP_

#include <chrono>
#include <cstddef>

#include "engine/timer_queue.hpp"

namespace dispatcher::upstream {

using engine::Duration;
using engine::Time;

// How connections to replicas are opened, kept and limited. A plain value; ReplicaClient::apply_options()
// exchanges it while the process runs.
struct Options {
  // The longest that a new connection is waited for; see ConnectTimeoutEstimator.
  Duration connect_timeout{};
  // A replica closes a connection that has been idle for so long.
  Duration idle_timeout{};
  // From one round of release calls to the next; see ReleaseTargets.
  Duration release_round_interval{};
  std::size_t max_idle_per_endpoint = 24;
  std::size_t max_idle_total = 160;
  // Connections open at once, idle ones among them.
  std::size_t max_connections = 360;
  // After an endpoint has begun to drain, the time within which a first byte may still reach it.
  Duration drain_grace = std::chrono::milliseconds(250);
  // From an answered release to its repetition, while something may still leave a reservation behind.
  Duration release_repeat_interval = std::chrono::milliseconds(200);
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_OPTIONS_HPP_
