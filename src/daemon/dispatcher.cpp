#include "daemon/dispatcher.hpp"

#include <algorithm>
#include <cctype>
#include <csignal>
#include <string>
#include <utility>

namespace dispatcher::daemon {

using std::chrono::milliseconds;

namespace {

// New connections come for up to 0.4 s after SIGTERM; what comes more than 0.7 s after it may be lost.
constexpr engine::Duration kKeepAccepting = milliseconds(550);
constexpr engine::Duration kListenAgain = milliseconds(250);
constexpr engine::Duration kDrainLook = milliseconds(20);
constexpr int kWakeEvery = 3;  // looks for which a stream is kept still that could not be handed over yet
// Rounds of calls to let go of a state: several must fit into the pin limit.
constexpr int kLeaseRounds = 6;
constexpr std::size_t kMegabyte = 1024 * 1024;

std::string text(const net::tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

// Some descriptors stay for all that is neither a client nor a replica: the operators' callers have theirs
// however many of the others there are.
constexpr std::size_t kSpare = 32 + admin::kMaxConnections;
// While two processes are this dispatcher, each keeps to half of what one may have.
std::size_t usable(const Config& config, bool shared) {
  return (config.sockets - std::min(kSpare, config.sockets / 2)) / (shared ? 2 : 1);
}

// One file of this dispatcher's in the folder that its processes share; empty where there is none.
std::string shared_path(const Config& config, const char* suffix) {
  if (config.scratch.empty()) return {};
  std::string name = config.name;
  for (char& c : name) {
    if (std::isalnum(static_cast<unsigned char>(c)) == 0) c = '_';
  }
  return config.scratch + "/bitternferry-" + name + suffix;
}

upstream::Options pool_options(const Config& config, bool shared = false) {
  upstream::Options options;
  options.connect_timeout = config.settings.connect_timeout;
  options.idle_timeout = config.settings.idle_timeout;
  options.lease_patience =
      std::max<engine::Duration>(milliseconds(20), config.settings.reservation_limit / kLeaseRounds);
  options.drain_grace = config.settings.drain_grace;
  options.release_again =
      std::max<engine::Duration>(milliseconds(20), config.settings.reservation_limit * 2 / 3);
  options.max_connections = std::min<std::size_t>(options.max_connections, usable(config, shared) * 46 / 100);
  options.max_idle_all = std::min(options.max_idle_all, options.max_connections / 2);
  return options;
}

http::ServerOptions server_options(const Config& config, std::size_t fronts, bool shared = false) {
  http::ServerOptions options;
  options.max_clients =
      std::min<std::size_t>(options.max_clients, usable(config, shared) * 54 / 100) / fronts;
  // A body stands in memory up to three times: as it came, to be sent again, and on its way out.
  options.max_body_bytes = config.memory_mb * kMegabyte / 8 / fronts;
  return options;
}

std::optional<openai_api::Config> parse_chat(const cue::File& file, const routing::Settings& settings) {
  return file.text.empty() ? std::nullopt : openai_api::parse_config(file, settings);
}

std::shared_ptr<const rate_limit::RuleSet> parse_rules(const std::optional<cue::File>& file,
                                                       const routing::Settings& settings) {
  return file ? rate_limit::RuleSet::read(*file, rate_limit::vocabulary_of(settings)) : nullptr;
}

std::shared_ptr<const degradation::LevelSet> parse_levels(const std::optional<cue::File>& file,
                                                          const routing::Settings& settings) {
  return file ? degradation::DegradationController::read(*file, settings)
              : std::make_shared<const degradation::LevelSet>();
}

}  // namespace

Dispatcher::Dispatcher(Loop& loop, const Config& config, const Texts& texts, engine::Log log,
                       ReadAgain read_again)
    : loop_(loop),
      config_(config),
      log_(log),
      read_again_(std::move(read_again)),
      rules_(std::make_shared<const routing::Settings>(config.settings)),
      chat_config_(parse_chat(texts.chat, config_.settings)),
      first_rules_(parse_rules(texts.rules, config_.settings)),
      rate_limiter_(config.seed, log),
      random_(config.seed),
      levels_(config.settings, parse_levels(texts.levels, config.settings), loop.clock(), log,
              [this] { return std::uniform_real_distribution<double>(0, 1)(random_); }),
      pool_(loop.io(), loop.timers(), loop.clock(), log, pool_options(config)),
      engine_(rules_, config.seed, pool_, loop.timers(), loop.clock(), log),
      platform_(http::FrontendContext{loop.io(), engine_, loop.timers(), loop.clock(),
                                      server_options(config, chat_config_ ? 2 : 1),
                                      [this] { return pool_.shed(); }},
                config.listen, rules_),
      watch_(
          loop.io(), config.discovery, loop.timers(), loop.clock(), log,
          [this](const service_discovery::EndpointSnapshot& servers) { apply(servers); },
          config.settings.router_count, config.seed ^ 0x5bd1e995,
          config.settings.polls_endpoint_list ? service_discovery::Lists::kAskedFor
                                              : service_discovery::Lists::kPushed),
      drained_endpoints_(shared_path(config, ".bans"), log),
      peer_(loop.io(), shared_path(config, ".sock"), loop.timers(), loop.clock(), log, *this),
      signals_(loop.io(), SIGTERM, SIGINT, SIGHUP) {
  pool_.attach(engine_);
  rate_limiter_.adopt(std::exchange(first_rules_, nullptr), loop.now());
  platform_.attach(rate_limiter_);
  platform_.attach(levels_);
  engine_.attach(&levels_);
  engine_.on_subscribe([this] { watch_.restart(); });
  if (chat_config_) {
    chat_.emplace(http::FrontendContext{loop.io(), engine_, loop.timers(), loop.clock(),
                                        server_options(config, 2), [this] { return pool_.shed(); }},
                  *chat_config_, config.seed);
    chat_->attach(rate_limiter_);
    chat_->attach(levels_);
  }
  if (config.console) {
    console_.emplace(
        loop.io(), *config.console, loop.timers(), loop.clock(),
        admin::AdminCallbacks{
            [this] { return ready(); },
            [this](const std::string& endpoint, bool offline) { return maintain(endpoint, offline); },
            [this] { return levels_.level(); }, [this] { return levels_.changes(); },
            [this](const std::string& name) { return levels_.order(name); }},
        [this] { return pool_.shed(); });
  }
  engine_.attach(&peer_);
  pair_ = texts.vrrp.text.empty() ? std::nullopt : vrrp::parse_config(texts.vrrp);
  if (pair_ && !chat_)
    throw ConfigError("vrrp: field 'listen': set, but the chat front that it is for is off");
  share_limits();
}

std::vector<http::Server*> Dispatcher::servers() {
  std::vector<http::Server*> all{&platform_.server()};
  if (chat_) all.push_back(&chat_->server());
  return all;
}

void Dispatcher::start() {
  await_signal();
  if (console_) {
    console_->open();
    log_("console on " + text(console_->local()));
  }
  peer_.start();
}

void Dispatcher::inherit(hot_restart::HandoverState handover) {
  if (!draining_) serve(std::move(handover));  // else: told to end before it began
}

void Dispatcher::serve(hot_restart::HandoverState handover) {
  // What operators left out goes before any list.
  drained_endpoints_.load();
  for (const std::string& endpoint : drained_endpoints_.endpoints()) {
    log_("operators: host " + endpoint + " still offline");
    enforce(endpoint, true);
  }
  // Discovery may be silent for long: the list that was last known serves until it speaks.
  apply(config_.known);
  if (!handover.list.is_null()) {
    try {
      apply(service_discovery::parse_servers(handover.list));
    } catch (const std::exception& e) {
      log_(std::string("upgrade: the list can't be read: ") + e.what());
    }
  }
  engine_.learn(handover.learned_state);
  levels_.resume(handover.level);
  for (const std::string& id : handover.ids) engine_.request_elsewhere(id, true);
  watch_.start(servers_.seq);
  platform_.server().open(std::move(handover.listening["platform"]));
  chat_socket_ = std::move(handover.listening["chat"]);
  if (pair_) {
    if (!peer_.has_elder()) speak(false);
  } else if (chat_) {
    chat_->server().open(std::move(chat_socket_));
  }
  log_("serving on " + text(config_.listen) + " as " + config_.name);
  if (chat_ && !pair_) log_("chat front on " + text(chat_->server().local()));
  serving_ = true;
  watch_levels();
  peer_.serving();
}

// VRRP decides who of the pair listens at the chat address. Of two processes of one router only one speaks.
void Dispatcher::speak(bool succeeds) {
  if (!pair_ || vrrp_ || draining_) return;
  try {
    vrrp_.emplace(loop_.io(), *pair_, loop_.timers(), loop_.clock(), log_,
                  [this](vrrp::State state) { front_chat(state == vrrp::State::kActive); });
  } catch (const std::exception& e) {
    if (!serving_) throw;
    log_(std::string("vrrp can't speak yet: ") + e.what());
    loop_.timers().add(loop_.now() + kListenAgain, [this, succeeds] { speak(succeeds); });
    return;
  }
  vrrp_->start(succeeds);
}

void Dispatcher::on_vrrp(bool was_active) {
  if (serving_) speak(was_active);
}

std::map<std::string, int> Dispatcher::listening() {
  std::map<std::string, int> sockets;
  if (platform_.server().is_open()) sockets["platform"] = platform_.server().listening_socket();
  if (chat_ && chat_->server().is_open()) sockets["chat"] = chat_->server().listening_socket();
  return sockets;
}

void Dispatcher::on_partners() {
  bound();
  if (!peer_.shared()) engine_.alone();
  if (!peer_.has_elder() && serving_) speak(false);
  if (draining_ && peer_.succeeded()) stop_taking();
}

void Dispatcher::bound() {
  const bool shared = peer_.shared();
  share_limits();
  pool_.adopt(pool_options(config_, shared));
  const http::ServerOptions options = server_options(config_, servers().size(), shared);
  for (http::Server* server : servers()) server->set_limits(options.max_clients, options.max_body_bytes);
}

// Two processes of one instance keep half of its part each.
void Dispatcher::share_limits() {
  const std::size_t each = peer_.shared() ? 2 : 1;
  const auto number = static_cast<std::size_t>(std::max(0, config_.settings.router_number));
  const auto count = static_cast<std::size_t>(std::max(1, config_.settings.router_count));
  rate_limiter_.share(each * number + (peer_.has_elder() ? 1 : 0), each * count);
}

void Dispatcher::watch_levels() {
  levels_.tick(engine_.open(), watch_.heard());
  loop_.timers().add(loop_.now() + degradation::DegradationController::kTick, [this] { watch_levels(); });
}

void Dispatcher::await_signal() {
  signals_.async_wait([this](boost::system::error_code error, int number) {
    if (error) return;
    if (number != SIGHUP) return drain();  // what is signalled from here on changes nothing
    reload();
    await_signal();
  });
}

void Dispatcher::reload() {
  if (!read_again_) return;
  try {
    const Files files = read_again_();
    adopt(files);
    for (const std::string& line : files.config.warnings) log_(line);
    std::string classes;
    for (const auto& c : rules_->classes) classes += " " + c.name;
    log_("reloaded: discovery at " + text(config_.discovery) + ", classes" + classes);
  } catch (const ConfigError& e) {
    const std::vector<std::string> lines = e.lines();
    if (lines.size() > 1) std::for_each(lines.begin(), lines.end(), log_);
    log_("reload failed, the old configuration stays: " +
         (lines.size() > 1 ? "see the lines above" : lines[0]));
  } catch (const std::exception& e) {
    std::string what = e.what();  // a line each, where several things are wrong
    for (std::size_t at = 0; (at = what.find('\n', at)) != std::string::npos;) what.replace(at, 1, "; ");
    log_("reload failed, the old configuration stays: " + what);
  }
}

void Dispatcher::adopt(const Files& files) {
  const Config& next = files.config;
  check_keys(config_.source, next.source);
  const auto rules = std::make_shared<const routing::Settings>(next.settings);
  const auto chat = parse_chat(files.texts.chat, *rules);
  if (chat_ && !chat) throw ConfigError("the chat front's file no longer says where to listen");
  const auto requests = parse_rules(files.texts.rules, *rules);
  const auto service = parse_levels(files.texts.levels, *rules);
  // Nothing below throws: the new configuration is taken whole.
  std::string later;
  const auto wait = [&later](bool changed, const char* field) {
    if (changed) later.append(later.empty() ? "" : ", ").append(field);
  };
  wait(next.listen != config_.listen, "listen");
  wait(next.name != config_.name, "name");
  wait(next.console != config_.console, "console");
  wait(chat.has_value() != chat_config_.has_value() || (chat && chat->listen != chat_config_->listen),
       "the chat front's listen");
  if (!later.empty()) log_("reload: changed, but taking effect at the next start only: " + later);
  const bool moved = next.discovery != config_.discovery;
  rules_ = rules;
  engine_.adopt(rules);
  platform_.adopt(rules);
  if (chat_) chat_->adopt(*chat);
  rate_limiter_.adopt(requests, loop_.now());
  levels_.adopt(*rules, service);
  config_.settings = next.settings;
  config_.source = next.source;
  config_.sockets = next.sockets;
  config_.memory_mb = next.memory_mb;
  config_.discovery = next.discovery;
  bound();
  // Kinds of replicas may be new: the list is read by the new ones.
  engine_.endpoints(servers_.list);
  if (moved) watch_.move(config_.discovery);
}

// The other of the pair may still be closing its listener at the shared address: tried until it is free.
void Dispatcher::front_chat(bool active) {
  fronting_ = active && !draining_;
  if (!fronting_) {
    chat_->server().stop_accepting();  // what was taken is still answered
    chat_->server().close_idle();
    return;
  }
  try {
    chat_->server().open(std::move(chat_socket_));
    log_("chat front on " + text(chat_->server().local()));
  } catch (const std::exception& e) {
    log_(std::string("chat front can't listen yet: ") + e.what());
    loop_.timers().add(loop_.now() + kListenAgain, [this] {
      if (fronting_) front_chat(true);
    });
  }
}

bool Dispatcher::ready() {
  return platform_.server().is_open() && !draining_ && engine_.endpoints_known() > 0;
}

bool Dispatcher::maintain(const std::string& endpoint, bool offline) {
  if (!engine_.knows(endpoint) && !drained_endpoints_.contains(endpoint)) return false;
  order(endpoint, offline);
  return true;
}

void Dispatcher::order(const std::string& endpoint, bool offline) {
  if (!drained_endpoints_.set(endpoint, offline)) return;
  log_("operators: host " + endpoint + (offline ? " offline" : " online"));
  enforce(endpoint, offline);
  peer_.tell_ban(endpoint, offline);
}

// The module hears of it first: what the pool gives back then goes elsewhere.
void Dispatcher::enforce(const std::string& endpoint, bool offline) {
  engine_.maintain(endpoint, offline);
  pool_.maintain(endpoint, offline);
}

void Dispatcher::apply(const service_discovery::EndpointSnapshot& servers) {
  service_discovery::merge(servers_, servers);
  pool_.endpoints(servers.addresses, servers.whole);
  engine_.endpoints(servers.list);
  levels_.endpoints(servers.list);
}

void Dispatcher::drain() {
  if (draining_) return;
  draining_ = true;
  log_("draining: " + std::to_string(engine_.unanswered()) + " requests unanswered");
  for (http::Server* server : servers()) server->drain();
  if (vrrp_ && peer_.succeeded()) {
    const bool active = vrrp_->state() == vrrp::State::kActive;
    vrrp_->leave();
    fronting_ = false;
    peer_.tell_vrrp(active);
  } else if (vrrp_) {
    vrrp_->stop();  // the other of the pair takes over at once
  }
  if (peer_.succeeded()) {
    stop_taking();
  } else {
    loop_.timers().add(loop_.now() + kKeepAccepting, [this] { stop_taking(); });
  }
  finish_draining();
}

// Another process takes what comes now, or nobody does: clients that are told so by a close come again there.
void Dispatcher::stop_taking() {
  took_last_ = true;
  for (http::Server* server : servers()) {
    server->stop_accepting();
    server->close_idle();
  }
}

// A stream may run for longer than this process does. The platform's pass to the process that takes over,
// each where it stands between two events: both sockets, and what is left of the chunk being read.
void Dispatcher::hand_over_streams() {
  if (!peer_.succeeded()) return;
  http::Server& server = platform_.server();
  for (const engine::Engine::Stream& s : engine_.streams(platform_.response_sink())) {
    const engine::AttemptId attempt{s.request, s.attempt};
    // Both reads are taken back first; it is given once they are, unless more came in between.
    const bool client_still = server.suspend_reading(s.client), replica_still = pool_.hush(attempt);
    if (client_still && replica_still) {
      const auto [replica, given] = pool_.give(attempt);
      const net::UniqueFd client = server.detach(s.client);
      platform_.forget_detached_stream(s.client);
      peer_.give_stream({{"id", s.id},
                         {"host", given.endpoint},
                         {"unread", std::vector<unsigned char>(given.unread.begin(), given.unread.end())},
                         {"chunk_left", given.chunk_left},
                         {"keep_alive", given.keep_alive}},
                        client.get(), replica.get());
      engine_.give_away(s.request);
    } else if (handover_tries_ % kWakeEvery == kWakeEvery - 1) {
      server.resume_reading(s.client);
      pool_.wake(attempt);
    }
  }
  ++handover_tries_;
}

void Dispatcher::on_stream(const Json& facts, net::UniqueFd client, net::UniqueFd replica) {
  try {
    const auto unread = facts.at("unread").get<std::vector<unsigned char>>();
    const upstream::ConnectionPool::Given given{facts.at("host").get<std::string>(),
                                                {unread.begin(), unread.end()},
                                                facts.at("chunk_left").get<std::uint64_t>(),
                                                facts.at("keep_alive").get<bool>()};
    const auto id = facts.at("id").get<std::string>();
    engine_.request_elsewhere(id, false);
    const net::SlotId request = platform_.adopt_stream(std::move(client), id, given.endpoint);
    pool_.adopt({request, 0}, std::move(replica), given);
  } catch (const std::exception& e) {
    log_(std::string("upgrade: a stream can't go on here: ") + e.what());
  }
}

// Everything taken is answered, every stream passed on and every state let go of before the end.
void Dispatcher::finish_draining() {
  hand_over_streams();
  std::size_t clients = 0;
  for (http::Server* server : servers()) {
    if (took_last_) server->close_idle();
    clients += server->client_count();
  }
  const bool owes = engine_.open() > 0 || clients > 0 || pool_.leases_pressing() > 0;
  if (!took_last_ || !peer_.all_sent() || owes) {
    loop_.timers().add(loop_.now() + kDrainLook, [this] { finish_draining(); });
    return;
  }
  log_("drained");
  peer_.close();
  loop_.stop();
}

}  // namespace dispatcher::daemon
