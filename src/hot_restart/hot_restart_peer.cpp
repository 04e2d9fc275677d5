#include "hot_restart/hot_restart_peer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dispatcher::hot_restart {

using routing::LearnedState;
using routing::MovingAverage;

namespace {

// An elder that is busy or stuck must not keep the new process from serving.
constexpr engine::Duration kPatience = std::chrono::milliseconds(1500);
constexpr int kMaxServed = 20000;

Json to_json(const MovingAverage& a) { return Json::array({a.mean, a.dev, a.n}); }

MovingAverage parse_average(const Json& value) {
  MovingAverage a;
  if (!value.is_array() || value.size() != 3) return a;
  for (const Json& part : value) {
    if (!part.is_number()) return a;
  }
  const double mean = value[0].get<double>(), dev = value[1].get<double>(), n = value[2].get<double>();
  if (!(mean >= 0 && mean < 1e12 && dev >= 0 && dev < 1e6 && n >= 0 && n < 1e9)) return a;
  return {mean, dev, static_cast<int>(n)};
}

const Json& member(const Json& object, const char* field) {
  static const Json none;
  const auto it = object.find(field);
  return object.is_object() && it != object.end() ? *it : none;
}

std::string text(const Json& object, const char* field) {
  const Json& value = member(object, field);
  return value.is_string() ? value.get<std::string>() : std::string();
}

bool flag(const Json& object, const char* field) {
  const Json& value = member(object, field);
  return value.is_boolean() && value.get<bool>();
}

routing::Time time(const Json& value) {
  return routing::Time(value.is_number_integer() ? value.get<std::int64_t>() : 0);
}

}  // namespace

Json to_json(const LearnedState& k) {
  Json endpoints = Json::array();
  for (const LearnedState::EndpointHistory& h : k.endpoints) {
    Json sends = Json::array();
    for (const routing::Time sent : h.sends) sends.push_back(sent.count());
    endpoints.push_back({{"host", h.endpoint}, {"sends", sends}, {"back", h.back.count()}});
  }
  Json starts = Json::array();
  for (const MovingAverage& a : k.starts) starts.push_back(to_json(a));
  return {{"starts", starts},
          {"far", to_json(k.far)},
          {"served", k.served},
          {"since", k.since.count()},
          {"hosts", endpoints}};
}

LearnedState parse_knowledge(const Json& object) {
  LearnedState k;
  const Json &starts = member(object, "starts"), &served = member(object, "served");
  for (std::size_t role = 0; role < k.starts.size(); ++role) {
    if (starts.is_array() && role < starts.size()) k.starts[role] = parse_average(starts[role]);
    if (served.is_array() && role < served.size() && served[role].is_number_integer())
      k.served[role] = std::clamp(served[role].get<int>(), 0, kMaxServed);
  }
  k.far = parse_average(member(object, "far"));
  k.since = time(member(object, "since"));
  const Json& endpoints = member(object, "hosts");
  if (!endpoints.is_array()) return k;
  for (const Json& h : endpoints) {
    LearnedState::EndpointHistory of{text(h, "host"), {}, time(member(h, "back"))};
    const Json& sends = member(h, "sends");
    if (of.endpoint.empty() || !sends.is_array()) continue;
    for (const Json& sent : sends) of.sends.push_back(time(sent));
    k.endpoints.push_back(std::move(of));
  }
  return k;
}

HotRestartPeer::HotRestartPeer(boost::asio::io_context& io, const std::string& path,
                               engine::TimerQueue& timers, engine::Clock clock, engine::Log log, Owner& owner)
    : io_(io),
      path_(path),
      timers_(timers),
      clock_(std::move(clock)),
      log_(std::move(log)),
      owner_(owner),
      door_(io, path, [this](net::UniqueFd visitor) { welcome(std::move(visitor)); }) {}

void HotRestartPeer::start() {
  if (!path_.empty()) elder_.link = HandoverChannel::connect(io_, path_, elder_);
  if (elder_.link == nullptr) return go_on_alone();
  patience_ = timers_.add(clock_() + kPatience, [this] {
    log_("upgrade: the serving process hands nothing over: starting beside it");
    go_on_alone();
  });
  owner_.on_partners();
}

void HotRestartPeer::go_on_alone() {
  timers_.drop(patience_);
  if (!std::exchange(begun_, true)) owner_.inherit({});
}

void HotRestartPeer::serving() {
  if (elder_.link != nullptr) elder_.link->send({{"serving", true}});
  if (!path_.empty() && !door_.open())
    log_("upgrade: can't listen at '" + path_ + "': no later one will find this");
}

void HotRestartPeer::close() {
  door_.close();
  for (End* end : {&elder_, &younger_}) {
    if (end->link != nullptr) std::exchange(end->link, nullptr)->close();
  }
}

void HotRestartPeer::welcome(net::UniqueFd visitor) {
  if (younger_.link != nullptr) younger_.link->close();  // it came to nothing, and here is the next
  younger_serves_ = false;
  younger_.link = std::make_shared<HandoverChannel>(io_, std::move(visitor), younger_);
  younger_.link->start();
  Json names = Json::array();
  std::vector<int> fds;
  for (const auto& [name, fd] : owner_.listening()) names.push_back(name), fds.push_back(fd);
  Json handover{{"estate", true},
                {"listening", names},
                {"list", owner_.list()},
                {"ids", owner_.open_ids()},
                {"knowledge", to_json(owner_.learned_state())},
                {"level", owner_.level()}};
  if (!younger_.link->send(handover, fds)) {
    handover.erase("list");  // discovery has it too
    handover.erase("ids");
    younger_.link->send(handover, fds);
  }
  log_("upgrade: another process takes over");
  owner_.on_partners();
}

void HotRestartPeer::take(End& end, const Json& message, Fds fds) {
  if (&end == &elder_ && message.contains("estate")) return inherit(message, std::move(fds));
  if (&end == &younger_ && message.contains("serving")) {
    younger_serves_ = true;
    return owner_.on_partners();
  }
  if (message.contains("ban")) owner_.on_ban(text(message, "ban"), flag(message, "offline"));
  if (message.contains("request")) owner_.on_request(text(message, "request"), flag(message, "open"));
  if (message.contains("sent")) owner_.on_sent(text(message, "sent"));
  if (message.contains("stream") && fds.size() == 2)
    owner_.on_stream(message.at("stream"), std::move(fds[0]), std::move(fds[1]));
  if (message.contains("vrrp")) owner_.on_vrrp(flag(message, "vrrp"));
}

void HotRestartPeer::inherit(const Json& message, Fds fds) {
  if (std::exchange(begun_, true)) return;  // too late: this one has its own sockets
  timers_.drop(patience_);
  HandoverState handover;
  handover.list = member(message, "list");
  handover.level = member(message, "level");
  handover.learned_state = parse_knowledge(member(message, "knowledge"));
  if (const Json& ids = member(message, "ids"); ids.is_array()) {
    for (const Json& id : ids) {
      if (id.is_string()) handover.ids.push_back(id.get<std::string>());
    }
  }
  const Json& names = member(message, "listening");
  for (std::size_t i = 0; names.is_array() && i < names.size() && i < fds.size(); ++i) {
    if (names[i].is_string()) handover.listening.emplace(names[i].get<std::string>(), std::move(fds[i]));
  }
  log_("upgrade: taking over from the serving process");
  owner_.inherit(std::move(handover));
}

void HotRestartPeer::ended(End& end) {
  end.link.reset();
  if (&end == &younger_) younger_serves_ = false;
  log_(&end == &elder_ ? "upgrade: the process before this one has ended"
                       : "upgrade: the process that was to take over has ended");
  go_on_alone();
  owner_.on_partners();
}

bool HotRestartPeer::all_sent() const { return younger_.link == nullptr || younger_.link->sent(); }

void HotRestartPeer::tell(const Json& message) {
  for (End* end : {&elder_, &younger_}) {
    if (end->link != nullptr) end->link->send(message);
  }
}

void HotRestartPeer::tell_ban(const std::string& endpoint, bool offline) {
  tell({{"ban", endpoint}, {"offline", offline}});
}
void HotRestartPeer::tell_vrrp(bool was_active) {
  if (younger_.link != nullptr) younger_.link->send({{"vrrp", was_active}});
}
void HotRestartPeer::give_stream(const Json& facts, int client, int replica) {
  younger_.link->send({{"stream", facts}}, {client, replica});
}
void HotRestartPeer::on_request_progress(const std::string& id, engine::RequestProgress progress) {
  const bool open = progress == engine::RequestProgress::kInProgress;
  if (shared()) tell({{"request", id}, {"open", open}});
}
void HotRestartPeer::on_attempt_started(const std::string& endpoint) {
  if (shared()) tell({{"sent", endpoint}});
}

}  // namespace dispatcher::hot_restart
