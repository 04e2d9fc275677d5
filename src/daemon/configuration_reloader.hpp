// A configuration change under way: the files are read again and take effect whole, or nothing changes.
#ifndef DISPATCHER_DAEMON_CONFIGURATION_RELOADER_HPP_
#define DISPATCHER_DAEMON_CONFIGURATION_RELOADER_HPP_

#include <functional>
#include <string>

#include "daemon/components.hpp"

namespace dispatcher::daemon {

// Used on the event loop thread only; refers to the components, which outlive it.
class ConfigurationReloader {
 public:
  // Throws where a file can't be read or is bad.
  using ReadFiles = std::function<ConfigurationFiles()>;

  // Without `read_files`, reload() does nothing.
  ConfigurationReloader(Components& parts, ReadFiles read_files)
      : parts_(parts), read_files_(std::move(read_files)) {}

  // Never throws; what became of it is logged. docs/reload.md has the fields and when each takes effect.
  void reload();

 private:
  void apply(const ConfigurationFiles& files);
  void log_deferred_changes(const Config& next, const std::optional<openai_api::Config>& chat) const;
  void log_reloaded() const;
  void log_failure(const ConfigError& error) const;
  void log_failure(const std::exception& error) const;

  Components& parts_;
  ReadFiles read_files_;
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_CONFIGURATION_RELOADER_HPP_
