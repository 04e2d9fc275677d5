// The replicas that operators left out, kept in a file that outlives the process. A missing, stale or damaged
// file is no reason not to start.
#ifndef DISPATCHER_HOT_RESTART_BANS_HPP_
#define DISPATCHER_HOT_RESTART_BANS_HPP_

#include <set>
#include <string>

#include "engine/engine.hpp"

namespace dispatcher::hot_restart {

class Bans {
 public:
  // `path` empty: nothing is kept.
  Bans(std::string path, engine::Log log) : path_(std::move(path)), log_(std::move(log)) {}
  void load();
  const std::set<std::string>& hosts() const { return hosts_; }
  bool contains(const std::string& host) const { return hosts_.contains(host); }
  bool set(const std::string& host, bool offline);  // false: it was so already

 private:
  void save() const;
  std::string path_;
  engine::Log log_;
  std::set<std::string> hosts_;
};

}  // namespace dispatcher::hot_restart

#endif  // DISPATCHER_HOT_RESTART_BANS_HPP_
