// The composition root: the parts of one dispatcher process, built from its configuration and wired to each
// other. Nothing here listens, connects or runs until Dispatcher::start().
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

// What the parts tell their owner. All are called on the event loop thread, once it runs.
struct ComponentCallbacks {
  std::function<void(const service_discovery::EndpointSnapshot&)> on_endpoints;  // a list, or a change of it
  std::function<bool()> is_ready;                                                // for GET /control/ready
  // False: unknown endpoint.
  std::function<bool(const routing::EndpointId& endpoint, routing::AdministrativeState state)>
      set_administrative_state;
  hot_restart::HotRestartPeer::Owner& hot_restart_owner;
};

// Owns the parts. They refer to each other, so the order of the members is that of their construction, and a
// Components is neither copied nor moved.
struct Components {
  // Throws ConfigError or cue::Errors where a file is bad.
  Components(Loop& loop, const Config& config, const FeatureFiles& files, const engine::Log& log,
             const ComponentCallbacks& callbacks);
  Components(const Components&) = delete;
  Components& operator=(const Components&) = delete;

  // The servers of the client fronts.
  [[nodiscard]] std::vector<http::Server*> client_servers();
  // Adapts connection and rate limits to whether another process of this dispatcher runs.
  void apply_resource_limits();
  void share_rate_limits();
  // Gives the list, or a change of it, to all who need it.
  void update_endpoints(const service_discovery::EndpointSnapshot& snapshot);

  Loop& loop;
  Config config;
  engine::Log log;
  engine::SettingsSnapshot settings;
  std::optional<openai_api::Config> chat_config;             // before the fronts, which share the descriptors
  std::shared_ptr<const rate_limit::RuleSet> initial_rules;  // parsed before anything is opened
  rate_limit::RateLimiter rate_limiter;
  std::mt19937_64 random;
  degradation::DegradationController levels;
  upstream::ReplicaClient pool;
  engine::Engine engine;
  platform_api::Frontend platform;
  std::optional<openai_api::Frontend> chat;
  std::optional<admin::AdminServer> admin;
  service_discovery::EndpointWatcher watch;
  hot_restart::DrainedEndpointStore drained_endpoints;
  hot_restart::HotRestartPeer peer;
  service_discovery::EndpointSnapshot endpoints;  // the whole list as it is now

 private:
  [[nodiscard]] ProcessCount processes() const;
  void build_chat();
  void build_admin(const ComponentCallbacks& callbacks);
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_COMPONENTS_HPP_
