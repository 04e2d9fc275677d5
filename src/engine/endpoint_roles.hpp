/// The endpoints that the endpoint list names, or named recently, and their roles.
#ifndef DISPATCHER_ENGINE_ENDPOINT_ROLES_HPP_
#define DISPATCHER_ENGINE_ENDPOINT_ROLES_HPP_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "routing/router.hpp"

namespace dispatcher::engine {

/// Tracks the roles of endpoints. Part of the Engine; does no I/O and uses no clock.
class EndpointRoles {
 public:
  /// Applies an endpoint list or a change to it. `settings` defines the role of each endpoint kind.
  void update(const routing::EndpointList& list, const routing::Settings& settings);

  /// Returns whether the endpoint is listed or was removed recently. A removed endpoint may return.
  [[nodiscard]] bool is_known(const routing::EndpointId& endpoint) const;
  [[nodiscard]] bool is_reader(const routing::EndpointId& endpoint) const;
  /// Returns the number of endpoints that are listed now.
  [[nodiscard]] std::size_t size() const { return roles_.size(); }

 private:
  void remember_removed(const routing::EndpointId& endpoint);

  std::map<routing::EndpointId, routing::Role> roles_;  // of the listed endpoints
  std::deque<routing::EndpointId> removed_;             // in the order of removal, the latest at the back
  std::set<routing::EndpointId> removed_names_;         // the same endpoints, for fast lookup
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_ENDPOINT_ROLES_HPP_
