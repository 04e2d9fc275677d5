#include "service_discovery/endpoint_snapshot.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace dispatcher::service_discovery {

using routing::EndpointState;
using Json = nlohmann::json;

namespace {

[[noreturn]] void bad(const std::string& field, const char* what) {
  throw std::invalid_argument("field '" + field + "': " + what);
}

std::string text(const Json& object, const char* field) {
  const auto it = object.find(field);
  if (it == object.end() || !it->is_string()) bad(field, "text expected");
  return it->get<std::string>();
}

double number(const Json& object, const char* field, double absent) {
  const auto it = object.find(field);
  if (it == object.end() || it->is_null()) return absent;
  if (!it->is_number()) bad(field, "number expected");
  const double value = it->get<double>();
  if (!(std::abs(value) < 1e15)) bad(field, "number out of range");
  return value;
}

EndpointState state(const std::string& word) {
  if (word == "up") return EndpointState::kReady;
  if (word == "draining") return EndpointState::kDraining;
  if (word == "removed") return EndpointState::kRemoved;
  bad("health", "up, draining or removed expected");
}

}  // namespace

EndpointSnapshot parse_servers(const Json& object) {
  if (!object.is_object()) throw std::invalid_argument("an object expected");
  EndpointSnapshot servers;
  servers.seq = static_cast<std::uint64_t>(std::max(0.0, number(object, "seq", 0)));
  const auto whole = object.find("whole");
  if (whole != object.end() && !whole->is_boolean()) bad("whole", "true or false expected");
  servers.whole = whole != object.end() && whole->get<bool>();
  servers.list.kind = servers.whole ? routing::ListKind::kFull : routing::ListKind::kDelta;
  const auto endpoints = object.find("hosts");
  if (endpoints == object.end() || !endpoints->is_array()) bad("hosts", "array expected");
  for (const Json& h : *endpoints) {
    if (!h.is_object()) bad("hosts", "objects expected");
    routing::EndpointInfo entry;
    entry.endpoint = text(h, "host");
    entry.state = state(text(h, "health"));
    entry.zone = text(h, "site");
    entry.kind = text(h, "class");
    entry.cell = static_cast<int>(std::lround(number(h, "block", 0)) & 0x7fffffff);
    entry.weight = number(h, "share", 1);
    // Unix time, as is the dispatcher's clock; 0 (long ago) stays 0.
    entry.started = routing::Time(std::llround(number(h, "born_ms", 0) * 1000));
    const auto address = net::parse_endpoint(text(h, "dial"));
    if (!address) bad("dial", "address and port expected");
    servers.addresses.push_back({entry.endpoint, *address, entry.state == EndpointState::kReady,
                                 entry.state == EndpointState::kRemoved, entry.zone, entry.cell});
    servers.list.entries.push_back(std::move(entry));
  }
  return servers;
}

Json to_json(const EndpointSnapshot& servers) {
  Json endpoints = Json::array();
  for (std::size_t i = 0; i < servers.list.entries.size(); ++i) {
    const routing::EndpointInfo& e = servers.list.entries[i];
    const net::tcp::endpoint& at = servers.addresses[i].address;
    const std::string address = at.address().to_string();
    endpoints.push_back(
        {{"host", e.endpoint},
         {"dial", (at.address().is_v6() ? "[" + address + "]" : address) + ":" + std::to_string(at.port())},
         {"site", e.zone},
         {"class", e.kind},
         {"block", e.cell},
         {"health", e.state == EndpointState::kReady      ? "up"
                    : e.state == EndpointState::kDraining ? "draining"
                                                          : "removed"},
         {"share", e.weight},
         {"born_ms", static_cast<double>(e.started.count()) / 1000}});
  }
  return {{"seq", servers.seq}, {"whole", servers.whole}, {"hosts", endpoints}};
}

void merge(EndpointSnapshot& all, const EndpointSnapshot& news) {
  if (news.whole) {
    all = news;
    return;
  }
  all.seq = news.seq;
  for (std::size_t i = 0; i < news.list.entries.size(); ++i) {
    const routing::EndpointInfo& entry = news.list.entries[i];
    const auto same = [&](const routing::EndpointInfo& e) { return e.endpoint == entry.endpoint; };
    const auto at = std::find_if(all.list.entries.begin(), all.list.entries.end(), same);
    const auto index = at - all.list.entries.begin();
    if (at != all.list.entries.end()) {
      all.list.entries.erase(at);
      all.addresses.erase(all.addresses.begin() + index);
    }
    if (entry.state == EndpointState::kRemoved) continue;
    all.list.entries.push_back(entry);
    all.addresses.push_back(news.addresses[i]);
  }
}

}  // namespace dispatcher::service_discovery
