/// Which endpoints the endpoint list names, or has named recently, and which of them are readers.
#ifndef DISPATCHER_ENGINE_ENDPOINT_ROLES_HPP_
#define DISPATCHER_ENGINE_ENDPOINT_ROLES_HPP_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "routing/router.hpp"

namespace dispatcher::engine {

/// Part of the Engine; no I/O and no clock.
class EndpointRoles {
 public:
  /// Applies a list or a change to it. `settings` names the role of each kind of endpoint.
  void update(const routing::EndpointList& list, const routing::Settings& settings);

  /// Whether a list names the endpoint, or did so recently: one that was removed may return.
  [[nodiscard]] bool is_known(const routing::EndpointId& endpoint) const;
  [[nodiscard]] bool is_reader(const routing::EndpointId& endpoint) const;
  /// The number of endpoints that the list names now.
  [[nodiscard]] std::size_t size() const { return roles_.size(); }

 private:
  void remember_removed(const routing::EndpointId& endpoint);

  std::map<routing::EndpointId, routing::Role> roles_;  // by endpoint
  std::deque<routing::EndpointId> removed_;             // the one removed last at the back
  std::set<routing::EndpointId> removed_names_;         // the same ones, to be found fast
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_ENDPOINT_ROLES_HPP_
