// Limits and times of the connections to endpoints.
#ifndef DISPATCHER_UPSTREAM_OPTIONS_HPP_
#define DISPATCHER_UPSTREAM_OPTIONS_HPP_

#include <chrono>
#include <cstddef>

#include "engine/timer_queue.hpp"

namespace dispatcher::upstream {

using engine::Duration;
using engine::Time;

// Defines how connections to endpoints are opened, kept and limited. A plain value;
// ReplicaClient::apply_options() replaces it while the process runs.
struct Options {
  // The longest wait for a new connection; see ConnectTimeoutEstimator.
  Duration connect_timeout{};
  // The idle time after which an endpoint closes a connection.
  Duration idle_timeout{};
  // The time from one round of release calls to the next, at first; see ReleaseTargets.
  Duration release_round_interval{};
  // The maximum of idle connections, to one endpoint and in total.
  std::size_t max_idle_per_endpoint = 24;
  std::size_t max_idle_total = 160;
  // The maximum of open connections, including idle ones.
  std::size_t max_connections = 360;
  // The time after the start of an endpoint's drain within which a first byte may still reach it.
  Duration drain_grace = std::chrono::milliseconds(250);
  // The time from an answered release to its repetition, while a reservation may still be left behind.
  Duration release_repeat_interval = std::chrono::milliseconds(200);
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_OPTIONS_HPP_
