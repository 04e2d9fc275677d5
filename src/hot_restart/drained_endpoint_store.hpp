// The endpoints that operators drained, in a file that outlives the process.
#ifndef DISPATCHER_HOT_RESTART_DRAINED_ENDPOINT_STORE_HPP_
#define DISPATCHER_HOT_RESTART_DRAINED_ENDPOINT_STORE_HPP_

#include <set>
#include <string>
#include <utility>

#include "engine/engine.hpp"

namespace dispatcher::hot_restart {

// Owned by the daemon, used on its event loop only; reads and writes block, but are rare. A missing, stale or
// damaged file is no error: it is logged, and no endpoint is drained by it.
class DrainedEndpointStore {
 public:
  // `path` empty: nothing is stored.
  DrainedEndpointStore(std::string path, engine::Log log) : path_(std::move(path)), log_(std::move(log)) {}
  void load();
  [[nodiscard]] const std::set<routing::EndpointId>& endpoints() const { return endpoints_; }
  [[nodiscard]] bool contains(const routing::EndpointId& endpoint) const {
    return endpoints_.contains(endpoint);
  }
  // Takes effect also where the file can't be written, which is logged. False: nothing has changed.
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
