// The composition root: builds the components of one dispatcher process from its configuration and connects
// them to each other. Nothing here listens, connects or runs until Dispatcher::start().
#ifndef DISPATCHER_DAEMON_COMPONENTS_HPP_
#define DISPATCHER_DAEMON_COMPONENTS_HPP_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "admin/admin_server.hpp"
#include "daemon/config.hpp"
#include "daemon/feature_files.hpp"
#include "daemon/loop.hpp"
#include "daemon/resource_limits.hpp"
#include "degradation/degradation_controller.hpp"
#include "engine/engine.hpp"
#include "hot_restart/drained_endpoint_store.hpp"
#include "hot_restart/hot_restart_peer.hpp"
#include "openai_api/frontend.hpp"
#include "platform_api/frontend.hpp"
#include "rate_limit/rate_limiter.hpp"
#include "service_discovery/endpoint_watcher.hpp"
#include "upstream/replica_client.hpp"

namespace dispatcher::daemon {

// Callbacks by which the components notify and query their owner. All are called on the event loop thread,
// once it runs.
struct ComponentCallbacks {
  // Called when a complete endpoint list or an update of it has arrived.
  std::function<void(const service_discovery::EndpointSnapshot&)> on_endpoints;
  // Returns whether this process serves; for GET /control/ready.
  std::function<bool()> is_ready;
  // Drains an endpoint or returns it to service. Returns false if the endpoint is unknown.
  std::function<bool(const routing::EndpointId& endpoint, routing::AdministrativeState state)>
      set_administrative_state;
  hot_restart::HotRestartPeer::Owner& hot_restart_owner;
};

// Owns the components. They refer to each other, so members are declared in the order in which they must be
// constructed, and a Components object is neither copied nor moved. Used on the event loop thread only.
struct Components {
  // The loop must outlive the components. Throws ConfigError or cue::Errors if a file is invalid.
  Components(Loop& loop, const Config& config, const FeatureFiles& files, const engine::Log& log,
             const ComponentCallbacks& callbacks);
  Components(const Components&) = delete;
  Components& operator=(const Components&) = delete;

  // Returns the servers of the client frontends.
  [[nodiscard]] std::vector<http::Server*> client_servers();
  // Sets the connection and rate limits, which are lower while another process of this dispatcher serves.
  void apply_resource_limits();
  // Gives up the connections that this process, which shuts down, no longer needs, and notifies the successor
  // of those that it keeps. Must be called again while it shuts down.
  void give_up_connections();
  // Sets the rate limits alone, as apply_resource_limits() does.
  void apply_rate_limit_share();
  // Passes a complete list, or an update of the current one, to every component that keeps endpoints.
  void update_endpoints(const service_discovery::EndpointSnapshot& snapshot);

  Loop& loop;
  Config config;
  engine::Log log;
  engine::SettingsSnapshot settings;
  std::optional<openai_api::Config> chat_config;
  std::shared_ptr<const rate_limit::RuleSet> initial_rules;  // parsed before anything is opened
  rate_limit::RateLimiter rate_limiter;
  std::mt19937_64 random;  // spreads the retries of requests that a degradation level sheds
  degradation::DegradationController degradation_controller;
  upstream::ReplicaClient replica_client;
  engine::Engine engine;
  std::shared_ptr<http::ClientCapacity> client_capacity;  // of both frontends
  platform_api::Frontend platform_frontend;
  std::optional<openai_api::Frontend> chat_frontend;  // nullopt if the configuration names no address for it
  std::optional<admin::AdminServer> admin_server;     // nullopt if the configuration names no address for it
  service_discovery::EndpointWatcher endpoint_watcher;
  hot_restart::DrainedEndpointStore drained_endpoints;
  hot_restart::HotRestartPeer hot_restart_peer;
  service_discovery::EndpointSnapshot endpoints;  // the complete list as of the last update

 private:
  [[nodiscard]] ConnectionLimits connection_limits() const;
  [[nodiscard]] http::FrontendContext frontend_context();
  [[nodiscard]] http::DescriptorReclaimer descriptor_reclaimer();
  void attach_admission(http::Frontend& frontend);
  void build_chat_frontend();
  void build_admin_server(const ComponentCallbacks& callbacks);
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_COMPONENTS_HPP_
