#include "hot_restart/partner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dispatcher::hot_restart {

using routing::Average;
using routing::Knowledge;

namespace {

// An elder that is busy or stuck must not keep the new process from serving.
constexpr engine::Duration kPatience = std::chrono::milliseconds(1500);
constexpr int kMostServed = 20000;

Json to_json(const Average& a) { return Json::array({a.mean, a.dev, a.n}); }

Average parse_average(const Json& value) {
  Average a;
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

Json to_json(const Knowledge& k) {
  Json hosts = Json::array();
  for (const Knowledge::OfHost& h : k.hosts) {
    Json sends = Json::array();
    for (const routing::Time sent : h.sends) sends.push_back(sent.count());
    hosts.push_back({{"host", h.host}, {"sends", sends}, {"back", h.back.count()}});
  }
  Json starts = Json::array();
  for (const Average& a : k.starts) starts.push_back(to_json(a));
  return {{"starts", starts},
          {"far", to_json(k.far)},
          {"served", k.served},
          {"since", k.since.count()},
          {"hosts", hosts}};
}

Knowledge parse_knowledge(const Json& object) {
  Knowledge k;
  const Json &starts = member(object, "starts"), &served = member(object, "served");
  for (std::size_t role = 0; role < k.starts.size(); ++role) {
    if (starts.is_array() && role < starts.size()) k.starts[role] = parse_average(starts[role]);
    if (served.is_array() && role < served.size() && served[role].is_number_integer())
      k.served[role] = std::clamp(served[role].get<int>(), 0, kMostServed);
  }
  k.far = parse_average(member(object, "far"));
  k.since = time(member(object, "since"));
  const Json& hosts = member(object, "hosts");
  if (!hosts.is_array()) return k;
  for (const Json& h : hosts) {
    Knowledge::OfHost of{text(h, "host"), {}, time(member(h, "back"))};
    const Json& sends = member(h, "sends");
    if (of.host.empty() || !sends.is_array()) continue;
    for (const Json& sent : sends) of.sends.push_back(time(sent));
    k.hosts.push_back(std::move(of));
  }
  return k;
}

Partner::Partner(boost::asio::io_context& io, const std::string& path, engine::Deadlines& deadlines,
                 engine::Clock clock, engine::Log log, Owner& owner)
    : io_(io),
      path_(path),
      deadlines_(deadlines),
      clock_(std::move(clock)),
      log_(std::move(log)),
      owner_(owner),
      door_(io, path, [this](net::UniqueFd visitor) { welcome(std::move(visitor)); }) {}

void Partner::start() {
  if (!path_.empty()) elder_.link = Link::connect(io_, path_, elder_);
  if (elder_.link == nullptr) return go_on_alone();
  patience_ = deadlines_.add(clock_() + kPatience, [this] {
    log_("upgrade: the serving process hands nothing over: starting beside it");
    go_on_alone();
  });
  owner_.on_partners();
}

void Partner::go_on_alone() {
  deadlines_.drop(patience_);
  if (!std::exchange(begun_, true)) owner_.inherit({});
}

void Partner::serving() {
  if (elder_.link != nullptr) elder_.link->send({{"serving", true}});
  if (!path_.empty() && !door_.open())
    log_("upgrade: can't listen at '" + path_ + "': no later one will find this");
}

void Partner::close() {
  door_.close();
  for (End* end : {&elder_, &younger_}) {
    if (end->link != nullptr) std::exchange(end->link, nullptr)->close();
  }
}

void Partner::welcome(net::UniqueFd visitor) {
  if (younger_.link != nullptr) younger_.link->close();  // it came to nothing, and here is the next
  younger_serves_ = false;
  younger_.link = std::make_shared<Link>(io_, std::move(visitor), younger_);
  younger_.link->start();
  Json names = Json::array();
  std::vector<int> fds;
  for (const auto& [name, fd] : owner_.listening()) names.push_back(name), fds.push_back(fd);
  Json estate{{"estate", true},
              {"listening", names},
              {"list", owner_.list()},
              {"ids", owner_.open_ids()},
              {"knowledge", to_json(owner_.knowledge())},
              {"level", owner_.level()}};
  if (!younger_.link->send(estate, fds)) {
    estate.erase("list");  // discovery has it too
    estate.erase("ids");
    younger_.link->send(estate, fds);
  }
  log_("upgrade: another process takes over");
  owner_.on_partners();
}

void Partner::take(End& end, const Json& message, Fds fds) {
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

void Partner::inherit(const Json& message, Fds fds) {
  if (std::exchange(begun_, true)) return;  // too late: this one has its own sockets
  deadlines_.drop(patience_);
  Estate estate;
  estate.list = member(message, "list");
  estate.level = member(message, "level");
  estate.knowledge = parse_knowledge(member(message, "knowledge"));
  if (const Json& ids = member(message, "ids"); ids.is_array()) {
    for (const Json& id : ids) {
      if (id.is_string()) estate.ids.push_back(id.get<std::string>());
    }
  }
  const Json& names = member(message, "listening");
  for (std::size_t i = 0; names.is_array() && i < names.size() && i < fds.size(); ++i) {
    if (names[i].is_string()) estate.listening.emplace(names[i].get<std::string>(), std::move(fds[i]));
  }
  log_("upgrade: taking over from the serving process");
  owner_.inherit(std::move(estate));
}

void Partner::ended(End& end) {
  end.link.reset();
  if (&end == &younger_) younger_serves_ = false;
  log_(&end == &elder_ ? "upgrade: the process before this one has ended"
                       : "upgrade: the process that was to take over has ended");
  go_on_alone();
  owner_.on_partners();
}

bool Partner::all_sent() const { return younger_.link == nullptr || younger_.link->sent(); }

void Partner::tell(const Json& message) {
  for (End* end : {&elder_, &younger_}) {
    if (end->link != nullptr) end->link->send(message);
  }
}

void Partner::tell_ban(const std::string& host, bool offline) { tell({{"ban", host}, {"offline", offline}}); }
void Partner::tell_vrrp(bool was_active) {
  if (younger_.link != nullptr) younger_.link->send({{"vrrp", was_active}});
}
void Partner::give_stream(const Json& facts, int client, int replica) {
  younger_.link->send({{"stream", facts}}, {client, replica});
}
void Partner::tell_request(const std::string& id, bool open) {
  if (shared()) tell({{"request", id}, {"open", open}});
}
void Partner::tell_sent(const std::string& host) {
  if (shared()) tell({{"sent", host}});
}

}  // namespace dispatcher::hot_restart
