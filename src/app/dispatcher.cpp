#include "app/dispatcher.hpp"

#include <csignal>
#include <string>

namespace bitternferry::app {

using std::chrono::milliseconds;

namespace {

// New connections come for up to 0.4 s after SIGTERM; what comes more than 0.7 s after it may be lost.
constexpr core::Duration kKeepAccepting = milliseconds(550);
constexpr core::Duration kListenAgain = milliseconds(250);
constexpr core::Duration kDrainLook = milliseconds(20);
// One try of a lease call: several must fit into the pin limit.
constexpr int kLeaseTries = 3;
constexpr std::size_t kMegabyte = 1024 * 1024;

std::string text(const net::tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

// Some descriptors stay for all that is neither a client nor a replica: the operators' callers have theirs
// however many of the others there are.
constexpr std::size_t kSpare = 32 + console::kMostCallers;
std::size_t usable(const Config& config) { return config.sockets - std::min(kSpare, config.sockets / 2); }

replica::Options pool_options(const Config& config) {
  replica::Options options;
  options.connect_timeout = config.settings.connect_timeout;
  options.idle_close = config.settings.idle_close;
  options.lease_patience =
      std::max<core::Duration>(milliseconds(20), config.settings.pin_limit / kLeaseTries);
  options.most_open = std::min<std::size_t>(options.most_open, usable(config) * 46 / 100);
  options.most_idle_all = std::min(options.most_idle_all, options.most_open / 2);
  return options;
}

http::ServerOptions server_options(const Config& config, std::size_t fronts) {
  http::ServerOptions options;
  options.most_clients = std::min<std::size_t>(options.most_clients, usable(config) * 54 / 100) / fronts;
  // A body stands in memory up to three times: as it came, to be sent again, and on its way out.
  options.most_held = config.memory_mb * kMegabyte / 8 / fronts;
  return options;
}

}  // namespace

Dispatcher::Dispatcher(Loop& loop, const Config& config, const std::string& chat, const std::string& vrrp,
                       core::Log log, ReadAgain read_again)
    : loop_(loop),
      config_(config),
      log_(log),
      read_again_(std::move(read_again)),
      chat_config_(chat.empty() ? std::nullopt : chat::parse_config(chat, config_.settings)),
      pool_(loop.io(), loop.deadlines(), loop.clock(), log, pool_options(config)),
      engine_(config.settings, config.seed, pool_, loop.deadlines(), loop.clock(), log),
      platform_(loop.io(), config.listen, engine_, config_.settings, loop.deadlines(), loop.clock(),
                server_options(config, chat_config_ ? 2 : 1), [this] { return pool_.shed(); }),
      watch_(loop.io(), config.discovery, loop.deadlines(), loop.clock(), log,
             [this](const discovery::Servers& servers) { apply(servers); }),
      signals_(loop.io(), SIGTERM, SIGINT, SIGHUP) {
  pool_.attach(engine_);
  engine_.on_subscribe([this] { watch_.restart(); });
  if (chat_config_) {
    chat_.emplace(loop.io(), *chat_config_, engine_, loop.deadlines(), loop.clock(), config.seed,
                  server_options(config, 2), [this] { return pool_.shed(); });
  }
  if (config.console) {
    console_.emplace(
        loop.io(), *config.console, loop.deadlines(), loop.clock(),
        console::Calls{[this] { return ready(); },
                       [this](const std::string& host, bool offline) { return maintain(host, offline); }},
        [this] { return pool_.shed(); });
  }
  const auto pair = vrrp.empty() ? std::nullopt : vrrp::parse_config(vrrp);
  if (!pair) return;
  if (!chat_) throw ConfigError("vrrp: field 'listen': set, but the chat front that it is for is off");
  vrrp_.emplace(loop.io(), *pair, loop.deadlines(), loop.clock(), log,
                [this](vrrp::State state) { front_chat(state == vrrp::State::kActive); });
}

std::vector<http::Server*> Dispatcher::servers() {
  std::vector<http::Server*> all{&platform_.server()};
  if (chat_) all.push_back(&chat_->server());
  return all;
}

void Dispatcher::start() {
  // Discovery may be silent for long: the list that was last known serves until it speaks.
  apply(config_.known);
  watch_.start(config_.known.seq);
  await_signal();
  platform_.server().open();
  if (vrrp_) {
    vrrp_->start();  // which decides who of the pair listens at the chat address
  } else if (chat_) {
    chat_->server().open();
  }
  if (console_) {
    console_->open();
    log_("console on " + text(console_->local()));
  }
  log_("serving on " + text(config_.listen) + " as " + config_.name);
  if (chat_ && !vrrp_) log_("chat front on " + text(chat_->server().local()));
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
    adopt(read_again_());
    log_("reloaded: discovery at " + text(config_.discovery));
  } catch (const std::exception& e) {
    log_(std::string("reload failed, the old configuration stays: ") + e.what());
  }
}

void Dispatcher::adopt(const Files& files) {
  const Config& next = files.config;
  const auto chat = files.chat.empty() ? std::nullopt : chat::parse_config(files.chat, config_.settings);
  // Nothing below throws: the new configuration is taken whole.
  if (chat && chat_) chat_->adopt(*chat);
  std::string later;
  const auto wait = [&later](bool changed, const char* field) {
    if (changed) later.append(later.empty() ? "" : ", ").append(field);
  };
  wait(next.listen != config_.listen, "listen");
  wait(next.name != config_.name, "name");
  wait(next.sockets != config_.sockets || next.memory_mb != config_.memory_mb, "limits");
  wait(next.settings_text != config_.settings_text, "settings");
  wait(chat.has_value() != chat_config_.has_value() || (chat && chat->listen != chat_config_->listen),
       "the chat front's listen");
  if (!later.empty()) log_("reload: changed, but taking effect at the next start only: " + later);
  config_.discovery = next.discovery;
  watch_.move(config_.discovery);
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
    chat_->server().open();
    log_("chat front on " + text(chat_->server().local()));
  } catch (const std::exception& e) {
    log_(std::string("chat front can't listen yet: ") + e.what());
    loop_.deadlines().add(loop_.now() + kListenAgain, [this] {
      if (fronting_) front_chat(true);
    });
  }
}

bool Dispatcher::ready() { return platform_.server().is_open() && !draining_ && engine_.hosts_known() > 0; }

// The module hears of it first: what the pool gives back then goes elsewhere.
bool Dispatcher::maintain(const std::string& host, bool offline) {
  if (!engine_.knows(host) && !offline_.contains(host)) return false;
  const bool news = offline ? offline_.insert(host).second : offline_.erase(host) > 0;
  if (!news) return true;
  log_("operators: host " + host + (offline ? " offline" : " online"));
  engine_.maintain(host, offline);
  pool_.maintain(host, offline);
  return true;
}

void Dispatcher::apply(const discovery::Servers& servers) {
  pool_.hosts(servers.addresses, servers.whole);
  engine_.hosts(servers.list);
}

void Dispatcher::drain() {
  if (draining_) return;
  draining_ = true;
  log_("draining: " + std::to_string(engine_.unanswered()) + " requests unanswered");
  for (http::Server* server : servers()) server->drain();
  if (vrrp_) vrrp_->stop();  // the other of the pair takes over at once
  loop_.deadlines().add(loop_.now() + kKeepAccepting, [this] {
    for (http::Server* server : servers()) {
      server->stop_accepting();
      server->close_idle();
    }
    finish_draining();
  });
}

// Everything taken is answered, every stream passed on and every state let go of before the end.
void Dispatcher::finish_draining() {
  std::size_t clients = 0;
  for (const http::Server* server : servers()) clients += server->clients();
  if (engine_.open() > 0 || clients > 0 || pool_.leases_out() > 0) {
    loop_.deadlines().add(loop_.now() + kDrainLook, [this] { finish_draining(); });
    return;
  }
  log_("drained");
  loop_.stop();
}

}  // namespace bitternferry::app
