#include "service_discovery/endpoint_snapshot.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <utility>

namespace dispatcher::service_discovery {

using routing::EndpointInfo;
using routing::EndpointState;
using upstream::ListScope;
using Json = nlohmann::json;

namespace {

// The field names of the platform's JSON format.
namespace key {
constexpr const char* kVersion = "seq";
constexpr const char* kIsComplete = "whole";
constexpr const char* kEndpoints = "hosts";
constexpr const char* kEndpoint = "host";
constexpr const char* kAddress = "dial";
constexpr const char* kZone = "site";
constexpr const char* kKind = "class";
constexpr const char* kCell = "block";
constexpr const char* kState = "health";
constexpr const char* kWeight = "share";
constexpr const char* kStartedMs = "born_ms";  // Unix time in milliseconds; 0 means long ago
}  // namespace key

constexpr std::array kStateNames{
    std::pair{"up", EndpointState::kReady},
    std::pair{"draining", EndpointState::kDraining},
    std::pair{"removed", EndpointState::kRemoved},
};

constexpr double kMaxMagnitude = 1e15;  // the bound of numbers, which keeps casts to 64-bit integers defined
constexpr double kUsPerMs = 1000;
constexpr int kCellMask = 0x7fffffff;  // keeps 31 bits, as cells are not negative

const char* describe(SnapshotProblem problem) {
  switch (problem) {
    case SnapshotProblem::kNotAnObject:
      return "an object expected";
    case SnapshotProblem::kNotComplete:
      return "complete list expected";
    case SnapshotProblem::kNotText:
      return "text expected";
    case SnapshotProblem::kNotANumber:
      return "number expected";
    case SnapshotProblem::kNumberOutOfRange:
      return "number out of range";
    case SnapshotProblem::kNotABoolean:
      return "true or false expected";
    case SnapshotProblem::kUnknownState:
      return "up, draining or removed expected";
    case SnapshotProblem::kNotAnAddress:
      return "address and port expected";
    case SnapshotProblem::kNotAnArray:
      return "array expected";
    case SnapshotProblem::kNotObjects:
      return "objects expected";
  }
  return "invalid";
}

std::string describe(SnapshotProblem problem, const std::string& field) {
  if (field.empty()) return describe(problem);
  return "field '" + field + "': " + describe(problem);
}

std::string parse_text(const Json& object, const char* field) {
  const auto it = object.find(field);
  if (it == object.end() || !it->is_string()) throw SnapshotError(SnapshotProblem::kNotText, field);
  return it->get<std::string>();
}

double parse_number(const Json& object, const char* field, double default_value) {
  const auto it = object.find(field);
  if (it == object.end() || it->is_null()) return default_value;
  if (!it->is_number()) throw SnapshotError(SnapshotProblem::kNotANumber, field);
  const double value = it->get<double>();
  if (!(std::abs(value) < kMaxMagnitude)) throw SnapshotError(SnapshotProblem::kNumberOutOfRange, field);
  return value;
}

bool parse_flag(const Json& object, const char* field) {
  const auto it = object.find(field);
  if (it == object.end()) return false;
  if (!it->is_boolean()) throw SnapshotError(SnapshotProblem::kNotABoolean, field);
  return it->get<bool>();
}

EndpointState parse_state(const std::string& name) {
  for (const auto& [state_name, state] : kStateNames) {
    if (name == state_name) return state;
  }
  throw SnapshotError(SnapshotProblem::kUnknownState, key::kState);
}

const char* name_of(EndpointState state) {
  for (const auto& [state_name, named_state] : kStateNames) {
    if (state == named_state) return state_name;
  }
  return "removed";
}

EndpointInfo parse_endpoint(const Json& object) {
  EndpointInfo info;
  info.endpoint = parse_text(object, key::kEndpoint);
  info.state = parse_state(parse_text(object, key::kState));
  info.zone = parse_text(object, key::kZone);
  info.kind = parse_text(object, key::kKind);
  info.cell = static_cast<int>(std::lround(parse_number(object, key::kCell, 0)) & kCellMask);
  info.weight = parse_number(object, key::kWeight, 1);
  // The platform's field and the dispatcher's clock are both Unix time.
  info.started = routing::Time(std::llround(parse_number(object, key::kStartedMs, 0) * kUsPerMs));
  return info;
}

upstream::EndpointAddress parse_address(const Json& object, const EndpointInfo& info) {
  const auto address = net::parse_endpoint(parse_text(object, key::kAddress));
  if (!address) throw SnapshotError(SnapshotProblem::kNotAnAddress, key::kAddress);
  return {info.endpoint, *address, info.state == EndpointState::kReady, info.state == EndpointState::kRemoved,
          info.zone,     info.cell};
}

std::string to_text(const net::tcp::endpoint& at) {
  const std::string address = at.address().to_string();
  const std::string port = std::to_string(at.port());
  return (at.address().is_v6() ? "[" + address + "]" : address) + ":" + port;
}

// Removes the endpoints that are keys of `changes`. The others keep their order.
void erase_changed(EndpointSnapshot& snapshot,
                   const std::unordered_map<routing::EndpointId, std::size_t>& changes) {
  auto& entries = snapshot.list.entries;
  std::size_t kept = 0;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (changes.contains(entries[i].endpoint)) continue;
    if (kept != i) {
      entries[kept] = std::move(entries[i]);
      snapshot.addresses[kept] = std::move(snapshot.addresses[i]);
    }
    ++kept;
  }
  entries.resize(kept);
  snapshot.addresses.resize(kept);
}

}  // namespace

SnapshotError::SnapshotError(SnapshotProblem problem, std::string field)
    : std::invalid_argument(describe(problem, field)), problem_(problem), field_(std::move(field)) {}

EndpointSnapshot parse_endpoint_snapshot(const Json& object) {
  if (!object.is_object()) throw SnapshotError(SnapshotProblem::kNotAnObject);
  EndpointSnapshot snapshot;
  snapshot.version = static_cast<std::uint64_t>(std::max(0.0, parse_number(object, key::kVersion, 0)));
  const bool is_complete = parse_flag(object, key::kIsComplete);
  snapshot.scope = is_complete ? ListScope::kComplete : ListScope::kChanges;
  snapshot.list.kind = is_complete ? routing::ListKind::kFull : routing::ListKind::kDelta;
  const auto endpoints = object.find(key::kEndpoints);
  if (endpoints == object.end() || !endpoints->is_array())
    throw SnapshotError(SnapshotProblem::kNotAnArray, key::kEndpoints);
  for (const Json& endpoint : *endpoints) {
    if (!endpoint.is_object()) throw SnapshotError(SnapshotProblem::kNotObjects, key::kEndpoints);
    EndpointInfo info = parse_endpoint(endpoint);
    snapshot.addresses.push_back(parse_address(endpoint, info));
    snapshot.list.entries.push_back(std::move(info));
  }
  return snapshot;
}

Json to_json(const EndpointSnapshot& snapshot) {
  Json endpoints = Json::array();
  for (std::size_t i = 0; i < snapshot.list.entries.size(); ++i) {
    const EndpointInfo& info = snapshot.list.entries[i];
    endpoints.push_back({{key::kEndpoint, info.endpoint.value()},
                         {key::kAddress, to_text(snapshot.addresses[i].address)},
                         {key::kZone, info.zone},
                         {key::kKind, info.kind},
                         {key::kCell, info.cell},
                         {key::kState, name_of(info.state)},
                         {key::kWeight, info.weight},
                         {key::kStartedMs, static_cast<double>(info.started.count()) / kUsPerMs}});
  }
  return {{key::kVersion, snapshot.version},
          {key::kIsComplete, snapshot.scope == ListScope::kComplete},
          {key::kEndpoints, endpoints}};
}

void apply_update(EndpointSnapshot& snapshot, const EndpointSnapshot& update) {
  if (update.scope == ListScope::kComplete) {
    snapshot = update;
    return;
  }
  snapshot.version = update.version;
  // The index of each endpoint's last entry, as an endpoint may be listed twice.
  std::unordered_map<routing::EndpointId, std::size_t> last_change;
  for (std::size_t i = 0; i < update.list.entries.size(); ++i)
    last_change[update.list.entries[i].endpoint] = i;
  erase_changed(snapshot, last_change);
  for (std::size_t i = 0; i < update.list.entries.size(); ++i) {
    const EndpointInfo& changed = update.list.entries[i];
    if (changed.state == EndpointState::kRemoved || last_change[changed.endpoint] != i) continue;
    snapshot.list.entries.push_back(changed);
    snapshot.addresses.push_back(update.addresses[i]);
  }
}

}  // namespace dispatcher::service_discovery
