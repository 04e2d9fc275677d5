#include "routing/endpoint_table.hpp"

#include <algorithm>
#include <utility>

#include "routing/hashing.hpp"
#include "routing/locality.hpp"
#include "routing/region_capacity.hpp"

namespace dispatcher::routing {
namespace {

// Resets the state that is no longer valid after the endpoint's process has been replaced.
void reset_after_restart(Endpoint& endpoint, Time now) {
  Endpoint fresh;
  static_cast<EndpointInfo&>(fresh) = endpoint;
  static_cast<RestartPersistentState&>(fresh) = endpoint;
  fresh.last_response_at = now;
  endpoint = std::move(fresh);
}

constexpr double kTokensPerKilotoken = 1000;

// Returns the settings of a kind, or null if there is no such kind.
const EndpointKind* find_kind(const Settings& settings, const std::string& name) {
  const auto found = std::find_if(settings.kinds.begin(), settings.kinds.end(),
                                  [&](const EndpointKind& known) { return known.name == name; });
  return found != settings.kinds.end() ? &*found : nullptr;
}

// Adds one endpoint to its role's statistics. Reported values are summed here and divided later.
void add_endpoint(RoleStatistics& role, const Endpoint& endpoint) {
  role.ready += 1;
  role.ejected += endpoint.is_ejected ? 1 : 0;
  role.queue_delay_ratio_sum += endpoint.queue_delay_ratio;
  role.delayed += endpoint.queue_delay_ratio > 0 ? 1 : 0;
  role.prompt_tokens += kTokensPerKilotoken * endpoint.report.prompt_kilotokens.value_or(0);
  role.memory_share += endpoint.report.memory_share.value_or(0);
}

}  // namespace

std::vector<EndpointId> EndpointTable::apply(const EndpointList& list, const Settings& settings, Time now) {
  std::vector<EndpointId> restarted;
  if (list.kind != ListKind::kDelta) mark_all_removed();
  for (const EndpointInfo& info : list.entries) {
    const EndpointKind* kind = find_kind(settings, info.kind);
    if (kind != nullptr && update_entry(info, *kind, now)) restarted.push_back(info.endpoint);
  }
  erase_unused();
  update_locality();
  return restarted;
}

void EndpointTable::mark_all_removed() {
  for (auto& [name, endpoint] : endpoints_) {
    endpoint.listed_state = EndpointState::kRemoved;
    endpoint.state = EndpointState::kRemoved;
  }
}

bool EndpointTable::update_entry(const EndpointInfo& info, const EndpointKind& kind, Time now) {
  Endpoint& endpoint = endpoints_[info.endpoint];
  const bool is_new = endpoint.endpoint.empty();
  const bool is_restarted = !is_new && endpoint.started != info.started;
  if (is_restarted) reset_after_restart(endpoint, now);
  if (is_new) endpoint.last_response_at = now;
  static_cast<EndpointInfo&>(endpoint) = info;
  endpoint.listed_state = info.state;
  endpoint.state = effective_state(endpoint);
  if (endpoint.weight <= 0) endpoint.weight = 1;
  endpoint.name_hash = hash_text(endpoint.endpoint.value());
  endpoint.role = kind.role;
  endpoint.memory_tokens = kind.memory_tokens;
  return is_restarted;
}

void EndpointTable::erase_unused() {
  std::erase_if(endpoints_, [](const auto& entry) {
    const Endpoint& endpoint = entry.second;
    return endpoint.state == EndpointState::kRemoved && endpoint.is_idle() && endpoint.waiting_states == 0;
  });
}

bool EndpointTable::apply(const AdministrativeDrain& drain, Time now) {
  const bool is_drained = drain.state == AdministrativeState::kDrained;
  if (is_drained == offline_.contains(drain.endpoint)) return false;
  if (is_drained) {
    offline_.insert(drain.endpoint);
  } else {
    offline_.erase(drain.endpoint);
  }
  Endpoint* endpoint = find(drain.endpoint);
  if (endpoint == nullptr) return false;
  if (!is_drained) {  // treated as restarted, as it may have been meanwhile
    reset_after_restart(*endpoint, now);
    endpoint->reinstated_at = now;
    endpoint->awaits_first_send = true;
  }
  endpoint->state = effective_state(*endpoint);
  update_locality();
  return true;
}

Endpoint* EndpointTable::find(const EndpointId& name) {
  const auto it = endpoints_.find(name);
  return it == endpoints_.end() ? nullptr : &it->second;
}

const Endpoint* EndpointTable::find(const EndpointId& name) const {
  const auto it = endpoints_.find(name);
  return it == endpoints_.end() ? nullptr : &it->second;
}

RoleStatistics EndpointTable::statistics(Role role) const { return statistics_by_role()[role_index(role)]; }

std::array<RoleStatistics, kRoles> EndpointTable::statistics_by_role() const {
  std::array<RoleStatistics, kRoles> result;
  std::array<double, kRoles> reports{};
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.state != EndpointState::kReady) continue;
    const std::size_t role = role_index(endpoint.role);
    add_endpoint(result[role], endpoint);
    if (endpoint.report.prompt_kilotokens || endpoint.report.memory_share) reports[role] += 1;
  }
  for (std::size_t role = 0; role < kRoles; ++role) {
    result[role].prompt_tokens /= std::max(1.0, reports[role]);
    result[role].memory_share /= std::max(1.0, reports[role]);
  }
  return result;
}

bool EndpointTable::has_mixed_endpoint() const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [](const auto& entry) { return entry.second.role == Role::kMixed; });
}

EndpointState EndpointTable::effective_state(const Endpoint& endpoint) const {
  if (endpoint.listed_state == EndpointState::kReady && offline_.contains(endpoint.endpoint))
    return EndpointState::kDraining;
  return endpoint.listed_state;
}

// A prompt state that the writers of its reader's cell cannot take crosses the cell's only link, which is
// slower to another zone: states from cells without writers waited 2 s, others 40 ms. No router uses a link
// often enough to measure it, so the link's load is computed from the endpoint list.
void EndpointTable::update_locality() {
  CellCapacities cells;
  std::map<std::string, RegionCapacity> zones;
  RegionCapacity all;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.state != EndpointState::kReady || endpoint.role == Role::kMixed) continue;
    for (RegionCapacity* region : {&cells[{endpoint.zone, endpoint.cell}], &zones[endpoint.zone], &all}) {
      (endpoint.role == Role::kReader ? region->readers : region->writers) += endpoint.weight;
    }
  }
  for (auto& [name, endpoint] : endpoints_) {
    const RegionCapacity& cell = cells[{endpoint.zone, endpoint.cell}];
    const double in_cell = cell.local_write_share(all);
    endpoint.cell_reader_share = share_of(cell.readers, all.readers);
    endpoint.local_write_share =
        in_cell + (1 - in_cell) * kOtherZoneWeight * zones[endpoint.zone].local_write_share(all);
  }
  reader_count_ = statistics(Role::kReader).ready + statistics(Role::kMixed).ready;
}

}  // namespace dispatcher::routing
