#include "daemon/components.hpp"

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <utility>

namespace dispatcher::daemon {

namespace {

// Keeps the watch's jitter apart from the other draws of the configuration's seed.
constexpr std::uint64_t kWatchSeedMask = 0x5bd1e995;

// One file of this dispatcher in the folder that its processes share; empty where there is none.
std::string shared_path(const Config& config, const char* suffix) {
  if (config.scratch.empty()) return {};
  std::string name = config.name;
  for (char& letter : name) {
    if (std::isalnum(static_cast<unsigned char>(letter)) == 0) letter = '_';
  }
  return config.scratch + "/bitternferry-" + name + suffix;
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
      levels(config.settings, parse_levels(files, config.settings), loop.clock(), log,
             [this] { return std::uniform_real_distribution<double>(0, 1)(random); }),
      pool(loop.io(), loop.timers(), loop.clock(), log, upstream_options(config, ProcessCount::kOne)),
      engine(settings, config.seed, pool, loop.timers(), loop.clock(), log),
      platform(http::FrontendContext{loop.io(), engine, loop.timers(), loop.clock(),
                                     server_options(config, chat_config ? 2 : 1, ProcessCount::kOne),
                                     [this] { return pool.evict_idle(); }},
               config.listen, settings),
      watch(loop.io(), config.discovery, loop.timers(), loop.clock(), log, callbacks.on_endpoints,
            {config.settings.router_count, config.seed ^ kWatchSeedMask, list_delivery(config.settings)}),
      drained_endpoints(shared_path(config, ".bans"), log),
      peer(loop.io(), shared_path(config, ".sock"), loop.timers(), loop.clock(), log,
           callbacks.hot_restart_owner) {
  pool.attach(engine);
  rate_limiter.replace_rules(std::exchange(initial_rules, nullptr), loop.now());
  platform.attach(rate_limiter);
  platform.attach(levels);
  engine.set_request_observer(&levels);
  engine.set_subscribe_callback([this] { watch.restart(); });
  if (chat_config) build_chat();
  if (config.console) build_admin(callbacks);
  engine.set_hot_restart_observer(&peer);
}

void Components::build_chat() {
  chat.emplace(http::FrontendContext{loop.io(), engine, loop.timers(), loop.clock(),
                                     server_options(config, 2, ProcessCount::kOne),
                                     [this] { return pool.evict_idle(); }},
               *chat_config, config.seed);
  chat->attach(rate_limiter);
  chat->attach(levels);
}

void Components::build_admin(const ComponentCallbacks& callbacks) {
  admin::AdminCallbacks calls;
  calls.is_ready = callbacks.is_ready;
  calls.set_administrative_state = callbacks.set_administrative_state;
  calls.current_level = [this] { return levels.status(); };
  calls.level_changes = [this] { return levels.history(); };
  calls.pin_level = [this](const std::string& name) { return levels.set_override(name); };
  admin.emplace(loop.io(), *config.console, loop.timers(), loop.clock(), std::move(calls),
                [this] { return pool.evict_idle(); });
}

std::vector<http::Server*> Components::client_servers() {
  std::vector<http::Server*> servers{&platform.server()};
  if (chat) servers.push_back(&chat->server());
  return servers;
}

ProcessCount Components::processes() const {
  return peer.has_peer() ? ProcessCount::kTwo : ProcessCount::kOne;
}

void Components::apply_resource_limits() {
  share_rate_limits();
  pool.apply_options(upstream_options(config, processes()));
  const http::ServerOptions options = server_options(config, client_servers().size(), processes());
  for (http::Server* server : client_servers())
    server->set_limits(options.max_clients, options.max_body_bytes);
}

// Two processes of one instance keep half of its part each.
void Components::share_rate_limits() {
  const std::size_t each = processes() == ProcessCount::kTwo ? 2 : 1;
  const auto number = static_cast<std::size_t>(std::max(0, config.settings.router_number));
  const auto count = static_cast<std::size_t>(std::max(1, config.settings.router_count));
  rate_limiter.set_instance(each * number + (peer.has_predecessor() ? 1 : 0), each * count);
}

void Components::update_endpoints(const service_discovery::EndpointSnapshot& snapshot) {
  service_discovery::apply_update(endpoints, snapshot);
  pool.update_endpoints(snapshot.addresses, snapshot.scope);
  engine.update_endpoints(snapshot.list);
  levels.update_endpoints(snapshot.list);
}

}  // namespace dispatcher::daemon
