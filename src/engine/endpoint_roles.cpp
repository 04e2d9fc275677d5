#include "engine/endpoint_roles.hpp"

#include <cstddef>

namespace dispatcher::engine {

namespace {

// The number of removed endpoints that are remembered. Bounds the memory if endpoints keep being replaced by
// others with new names; far more than the endpoints of a fleet.
constexpr std::size_t kMaxRemovedEndpoints = 512;

}  // namespace

void EndpointRoles::update(const routing::EndpointList& list, const routing::Settings& settings) {
  std::map<routing::EndpointId, routing::Role> previous;
  if (list.kind != routing::ListKind::kDelta) previous.swap(roles_);
  for (const routing::EndpointInfo& entry : list.entries) {
    if (entry.state == routing::EndpointState::kRemoved) {
      if (roles_.erase(entry.endpoint) > 0) remember_removed(entry.endpoint);
      continue;
    }
    for (const routing::EndpointKind& kind : settings.kinds) {
      if (kind.name == entry.kind) roles_[entry.endpoint] = kind.role;
    }
  }
  for (const auto& [endpoint, role] : previous) {
    if (!roles_.contains(endpoint)) remember_removed(endpoint);
  }
}

void EndpointRoles::remember_removed(const routing::EndpointId& endpoint) {
  const bool is_new = removed_names_.insert(endpoint).second;
  if (!is_new) std::erase(removed_, endpoint);
  removed_.push_back(endpoint);
  if (removed_.size() <= kMaxRemovedEndpoints) return;
  removed_names_.erase(removed_.front());
  removed_.pop_front();
}

bool EndpointRoles::is_known(const routing::EndpointId& endpoint) const {
  return roles_.contains(endpoint) || removed_names_.contains(endpoint);
}

bool EndpointRoles::is_reader(const routing::EndpointId& endpoint) const {
  const auto it = roles_.find(endpoint);
  return it != roles_.end() && it->second == routing::Role::kReader;
}

}  // namespace dispatcher::engine
