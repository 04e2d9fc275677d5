#include "daemon/components.hpp"

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <utility>

namespace dispatcher::daemon {

namespace {

// Applied to the configuration's seed, so that the watcher's jitter is independent of the other random
// numbers.
constexpr std::uint64_t kWatcherSeedMask = 0x5bd1e995;

// Connections to endpoints that a process keeps while it shuts down, besides one for each request that is not
// answered yet: for further attempts, one for each kRequestsPerSpareConnection requests, and for releases.
constexpr std::size_t kRequestsPerSpareConnection = 4;
constexpr std::size_t kReleaseConnections = 2;

// Returns the path of a file of this dispatcher in the directory that its processes share, or an empty string
// if there is no such directory.
std::string shared_path(const Config& config, const char* suffix) {
  if (config.shared_directory.empty()) return {};
  std::string name = config.name;
  for (char& letter : name) {
    if (std::isalnum(static_cast<unsigned char>(letter)) == 0) letter = '_';
  }
  return config.shared_directory + "/bitternferry-" + name + suffix;
}

service_discovery::ListDelivery list_delivery(const routing::Settings& settings) {
  return settings.polls_endpoint_list ? service_discovery::ListDelivery::kPoll
                                      : service_discovery::ListDelivery::kPush;
}

}  // namespace

Components::Components(Loop& event_loop, const Config& configuration, const FeatureFiles& files,
                       const engine::Log& log_sink, const ComponentCallbacks& callbacks)
    : loop(event_loop),
      config(configuration),
      log(log_sink),
      settings(std::make_shared<const routing::Settings>(config.settings)),
      chat_config(parse_chat(files, config.settings)),
      initial_rules(parse_rules(files, config.settings)),
      rate_limiter(config.seed, log),
      random(config.seed),
      degradation_controller(config.settings, parse_levels(files, config.settings), loop.clock(), log,
                             [this] { return std::uniform_real_distribution<double>(0, 1)(random); }),
      replica_client(loop.io(), loop.timers(), loop.clock(), log,
                     upstream_options(config, dispatcher_connections(config).endpoints)),
      engine(settings, config.seed, replica_client, loop.timers(), loop.clock(), log),
      client_capacity(std::make_shared<http::ClientCapacity>(
          client_limits(config, dispatcher_connections(config).clients))),
      platform_frontend(frontend_context(), config.listen, settings),
      endpoint_watcher(
          loop.io(), config.discovery, loop.timers(), loop.clock(), log, callbacks.on_endpoints,
          {config.settings.router_count, config.seed ^ kWatcherSeedMask, list_delivery(config.settings)}),
      drained_endpoints(shared_path(config, ".bans"), log),
      hot_restart_peer(loop.io(), shared_path(config, ".sock"), loop.timers(), loop.clock(), log,
                       callbacks.hot_restart_owner) {
  replica_client.attach(engine);
  rate_limiter.replace_rules(std::exchange(initial_rules, nullptr), loop.now());
  attach_admission(platform_frontend);
  if (chat_config) build_chat_frontend();
  if (config.admin_address) build_admin_server(callbacks);
  engine.set_request_observer(&degradation_controller);
  engine.set_hot_restart_observer(&hot_restart_peer);
  engine.set_subscribe_callback([this] { endpoint_watcher.restart(); });
}

http::FrontendContext Components::frontend_context() {
  http::ServerOptions options;
  options.shared_capacity = client_capacity;
  return {loop.io(), engine, loop.timers(), loop.clock(), options, descriptor_reclaimer()};
}

// When descriptors run short, an idle connection to an endpoint is closed to make room for a new connection.
http::DescriptorReclaimer Components::descriptor_reclaimer() {
  return [this] { return replica_client.evict_idle(); };
}

// All frontends share the rate limit counters and the degradation level.
void Components::attach_admission(http::Frontend& frontend) {
  frontend.attach(rate_limiter);
  frontend.attach(degradation_controller);
}

void Components::build_chat_frontend() {
  chat_frontend.emplace(frontend_context(), *chat_config, config.seed);
  attach_admission(*chat_frontend);
}

void Components::build_admin_server(const ComponentCallbacks& callbacks) {
  admin::AdminCallbacks admin_callbacks;
  admin_callbacks.is_ready = callbacks.is_ready;
  admin_callbacks.set_administrative_state = callbacks.set_administrative_state;
  admin_callbacks.level_status = [this] { return degradation_controller.status(); };
  admin_callbacks.level_history = [this] { return degradation_controller.history(); };
  admin_callbacks.set_level_override = [this](const std::string& name) {
    return degradation_controller.set_override(name);
  };
  admin_server.emplace(loop.io(), *config.admin_address, loop.timers(), loop.clock(),
                       std::move(admin_callbacks), descriptor_reclaimer());
}

std::vector<http::Server*> Components::client_servers() {
  std::vector<http::Server*> servers{&platform_frontend.server()};
  if (chat_frontend) servers.push_back(&chat_frontend->server());
  return servers;
}

// A successor that does not serve yet needs no connections. One whose predecessor shuts down gets what that
// one has given up.
ConnectionLimits Components::connection_limits() const {
  ConnectionLimits limits = dispatcher_connections(config);
  const auto& used_by_predecessor = hot_restart_peer.predecessor_connections();
  const bool has_serving_predecessor = hot_restart_peer.has_predecessor() && !used_by_predecessor;
  if (used_by_predecessor) limits = remainder_of(limits, *used_by_predecessor);
  const bool serves_beside_another = has_serving_predecessor || hot_restart_peer.is_successor_serving();
  return serves_beside_another ? half_of(limits) : limits;
}

// A process that is replaced goes on answering the clients that it has, even if they are more than its part.
void Components::apply_resource_limits() {
  apply_rate_limit_share();
  const ConnectionLimits connections = connection_limits();
  replica_client.apply_options(upstream_options(config, connections.endpoints));
  http::ClientLimits limits = client_limits(config, connections.clients);
  if (hot_restart_peer.is_successor_serving())
    limits.max_answers = client_limits(config, dispatcher_connections(config).clients).max_answers;
  client_capacity->set_limits(limits);
}

void Components::give_up_connections() {
  if (!hot_restart_peer.is_successor_serving()) return;
  const std::size_t requests = engine.unanswered_count();
  const std::size_t needed = requests + requests / kRequestsPerSpareConnection + kReleaseConnections;
  const std::size_t max_endpoint_connections = std::min(connection_limits().endpoints, needed);
  replica_client.apply_options(upstream_options(config, max_endpoint_connections));
  auto in_use = hot_restart_peer.predecessor_connections().value_or(hot_restart::ConnectionsInUse{});
  for (const http::Server* server : client_servers()) in_use.clients += server->client_count();
  in_use.endpoints += std::max(replica_client.open_connections(), max_endpoint_connections);
  hot_restart_peer.notify_connections(in_use);
}

// Two processes of one dispatcher count as two instances, each of which enforces half of the dispatcher's
// share.
void Components::apply_rate_limit_share() {
  const std::size_t processes_per_dispatcher = hot_restart_peer.has_peer() ? 2 : 1;
  const auto dispatcher = static_cast<std::size_t>(std::max(0, config.settings.router_number));
  const auto dispatchers = static_cast<std::size_t>(std::max(1, config.settings.router_count));
  const std::size_t process = hot_restart_peer.has_predecessor() ? 1 : 0;
  rate_limiter.set_instance(processes_per_dispatcher * dispatcher + process,
                            processes_per_dispatcher * dispatchers);
}

void Components::update_endpoints(const service_discovery::EndpointSnapshot& snapshot) {
  service_discovery::apply_update(endpoints, snapshot);
  replica_client.update_endpoints(snapshot.addresses, snapshot.scope);
  engine.update_endpoints(snapshot.list);
  degradation_controller.update_endpoints(snapshot.list);
}

}  // namespace dispatcher::daemon
