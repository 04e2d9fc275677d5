#include "engine/endpoint_roles.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::engine {

namespace {

// Bounds the memory where endpoints come and go under ever new names; far more than a fleet has.
constexpr std::size_t kMaxRemovedEndpoints = 512;

}  // namespace

void EndpointRoles::update(const routing::EndpointList& list, const routing::Settings& settings) {
  if (list.kind != routing::ListKind::kDelta) {
    for (const auto& [endpoint, role] : std::exchange(roles_, {})) remember_removed(endpoint);
  }
  for (const routing::EndpointInfo& entry : list.entries) {
    if (entry.state == routing::EndpointState::kRemoved) {
      if (roles_.erase(entry.endpoint) > 0) remember_removed(entry.endpoint);
      continue;
    }
    for (const routing::EndpointKind& kind : settings.kinds) {
      if (kind.name == entry.kind) roles_[entry.endpoint] = kind.role;
    }
  }
}

void EndpointRoles::remember_removed(const routing::EndpointId& endpoint) {
  std::erase(removed_, endpoint);
  removed_.push_back(endpoint);
  if (removed_.size() > kMaxRemovedEndpoints) removed_.pop_front();
}

bool EndpointRoles::is_known(const routing::EndpointId& endpoint) const {
  if (roles_.contains(endpoint)) return true;
  return std::find(removed_.begin(), removed_.end(), endpoint) != removed_.end();
}

bool EndpointRoles::is_reader(const routing::EndpointId& endpoint) const {
  const auto it = roles_.find(endpoint);
  return it != roles_.end() && it->second == routing::Role::kReader;
}

}  // namespace dispatcher::engine
