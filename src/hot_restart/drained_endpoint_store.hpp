// The replicas that operators left out, kept in a file that outlives the process. A missing, stale or damaged
// file is no reason not to start.
#ifndef DISPATCHER_HOT_RESTART_DRAINED_ENDPOINT_STORE_HPP_
#define DISPATCHER_HOT_RESTART_DRAINED_ENDPOINT_STORE_HPP_

#include <set>
#include <string>

#include "engine/engine.hpp"

namespace dispatcher::hot_restart {

class DrainedEndpointStore {
 public:
  // `path` empty: nothing is kept.
  DrainedEndpointStore(std::string path, engine::Log log) : path_(std::move(path)), log_(std::move(log)) {}
  void load();
  [[nodiscard]] const std::set<std::string>& endpoints() const { return endpoints_; }
  [[nodiscard]] bool contains(const std::string& endpoint) const { return endpoints_.contains(endpoint); }
  bool set(const std::string& endpoint, bool offline);  // false: it was so already

 private:
  void save() const;
  std::string path_;
  engine::Log log_;
  std::set<std::string> endpoints_;
};

}  // namespace dispatcher::hot_restart

#endif  // DISPATCHER_HOT_RESTART_DRAINED_ENDPOINT_STORE_HPP_
