// Stores the endpoints that operators drained in a file that persists across restarts of the process.
#ifndef DISPATCHER_HOT_RESTART_DRAINED_ENDPOINT_STORE_HPP_
#define DISPATCHER_HOT_RESTART_DRAINED_ENDPOINT_STORE_HPP_

#include <set>
#include <string>
#include <utility>

#include "engine/engine.hpp"

namespace dispatcher::hot_restart {

// The set of drained endpoints, written to a file with each change. Owned by the daemon and used on its event
// loop only. File operations block, but are rare. A missing file counts as an empty set. A damaged file is
// logged and drains no endpoint.
class DrainedEndpointStore {
 public:
  // Stores nothing if `path` is empty.
  DrainedEndpointStore(std::string path, engine::Log log) : path_(std::move(path)), log_(std::move(log)) {}
  // Adds the endpoints that are listed in the file.
  void load();
  [[nodiscard]] const std::set<routing::EndpointId>& endpoints() const { return endpoints_; }
  [[nodiscard]] bool contains(const routing::EndpointId& endpoint) const {
    return endpoints_.contains(endpoint);
  }
  // Drains an endpoint or returns it to service, even if the file can't be written, which is logged. Returns
  // false if the endpoint was already in this state.
  [[nodiscard]] bool set_administrative_state(const routing::EndpointId& endpoint,
                                              routing::AdministrativeState state);

 private:
  void save() const;
  [[nodiscard]] bool replace_file(const std::string& text) const;

  std::string path_;
  engine::Log log_;
  std::set<routing::EndpointId> endpoints_;
};

}  // namespace dispatcher::hot_restart

#endif  // DISPATCHER_HOT_RESTART_DRAINED_ENDPOINT_STORE_HPP_
