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
                     upstream_options(config, ProcessCount::kOne)),
      engine(settings, config.seed, replica_client, loop.timers(), loop.clock(), log),
      client_capacity(
          std::make_shared<http::ClientCapacity>(client_limits(config, ProcessCount::kOne))),
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

ProcessCount Components::processes() const {
  return hot_restart_peer.has_peer() ? ProcessCount::kTwo : ProcessCount::kOne;
}

void Components::apply_resource_limits() {
  apply_rate_limit_share();
  replica_client.apply_options(upstream_options(config, processes()));
  client_capacity->set_limits(client_limits(config, processes()));
}

// Two processes of one dispatcher count as two instances, each of which enforces half of the dispatcher's
// share.
void Components::apply_rate_limit_share() {
  const std::size_t processes_per_dispatcher = count_of(processes());
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
