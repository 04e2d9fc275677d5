// The composition root: the parts of one dispatcher process, built from its configuration and connected to
// each other. Nothing here listens, connects or runs until Dispatcher::start().
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

// By which the parts notify and query their owner. All are called on the event loop thread, once it runs.
struct ComponentCallbacks {
  // A complete endpoint list or an update of it has arrived.
  std::function<void(const service_discovery::EndpointSnapshot&)> on_endpoints;
  // Whether this process serves; for GET /control/ready.
  std::function<bool()> is_ready;
  // Drains an endpoint or returns it to service. Returns false where the endpoint is unknown.
  std::function<bool(const routing::EndpointId& endpoint, routing::AdministrativeState state)>
      set_administrative_state;
  hot_restart::HotRestartPeer::Owner& hot_restart_owner;
};

// Owns the parts. They refer to each other, so the order of the members is that of their construction, and a
// Components is neither copied nor moved. Used on the event loop thread only.
struct Components {
  // The loop outlives the components. Throws ConfigError or cue::Errors where a file is invalid.
  Components(Loop& loop, const Config& config, const FeatureFiles& files, const engine::Log& log,
             const ComponentCallbacks& callbacks);
  Components(const Components&) = delete;
  Components& operator=(const Components&) = delete;

  // The servers of the client frontends.
  [[nodiscard]] std::vector<http::Server*> client_servers();
  // Adapts connection and rate limits to whether another process of this dispatcher runs.
  void apply_resource_limits();
  // The part of it that concerns rate limits.
  void apply_rate_limit_share();
  // Passes a complete list, or an update of the current one, to every part that keeps endpoints.
  void update_endpoints(const service_discovery::EndpointSnapshot& snapshot);

  Loop& loop;
  Config config;
  engine::Log log;
  engine::SettingsSnapshot settings;
  std::optional<openai_api::Config> chat_config;             // before the frontends, which share its limits
  std::shared_ptr<const rate_limit::RuleSet> initial_rules;  // parsed before anything is opened
  rate_limit::RateLimiter rate_limiter;
  std::mt19937_64 random;  // spreads the retries of requests that degradation sheds
  degradation::DegradationController degradation_controller;
  upstream::ReplicaClient replica_client;
  engine::Engine engine;
  platform_api::Frontend platform_frontend;
  std::optional<openai_api::Frontend> chat_frontend;  // none: the configuration names no address for it
  std::optional<admin::AdminServer> admin_server;     // none: the configuration names no address for it
  service_discovery::EndpointWatcher endpoint_watcher;
  hot_restart::DrainedEndpointStore drained_endpoints;
  hot_restart::HotRestartPeer hot_restart_peer;
  service_discovery::EndpointSnapshot endpoints;  // the complete list as of the last update

 private:
  [[nodiscard]] ProcessCount processes() const;
  // Client frontends of this process: the platform's, and the chat frontend where it is on.
  [[nodiscard]] std::size_t frontend_count() const { return chat_config ? 2 : 1; }
  [[nodiscard]] http::FrontendContext frontend_context();
  [[nodiscard]] http::DescriptorReclaimer descriptor_reclaimer();
  void attach_admission(http::Frontend& frontend);
  void build_chat_frontend();
  void build_admin_server(const ComponentCallbacks& callbacks);
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_COMPONENTS_HPP_
