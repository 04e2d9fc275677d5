// Reload of the configuration in a running process: the files are read again and take effect completely or,
// where one of them is invalid, not at all.
#ifndef DISPATCHER_DAEMON_CONFIGURATION_RELOADER_HPP_
#define DISPATCHER_DAEMON_CONFIGURATION_RELOADER_HPP_

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "daemon/components.hpp"

namespace dispatcher::daemon {

// Owned by the Dispatcher and used on its event loop only; the components outlive it.
class ConfigurationReloader {
 public:
  // Throws ConfigError or cue::Errors where a file can't be read or is invalid.
  using ReadFiles = std::function<ConfigurationFiles()>;

  // Without `read_files`, reload() does nothing.
  ConfigurationReloader(Components& parts, ReadFiles read_files)
      : parts_(parts), read_files_(std::move(read_files)) {}

  // Never throws; success and failure are logged. docs/reload.md lists when each field takes effect.
  void reload();

 private:
  // What the files contain, as the parts take it.
  struct ParsedFiles {
    engine::SettingsSnapshot settings;
    std::optional<openai_api::Config> chat;
    std::shared_ptr<const rate_limit::RuleSet> rules;
    std::shared_ptr<const degradation::LevelSet> levels;
  };
  // Throws ConfigError or cue::Errors where a file is invalid; changes nothing.
  [[nodiscard]] ParsedFiles parse(const ConfigurationFiles& files) const;
  // Throws nothing, so that the new configuration takes effect completely.
  void apply(const Config& next, const ParsedFiles& parsed);
  void log_deferred_changes(const Config& next, const std::optional<openai_api::Config>& chat) const;
  void log_reloaded() const;
  void log_failure(const ConfigError& error) const;
  void log_failure(const std::exception& error) const;

  Components& parts_;
  ReadFiles read_files_;
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_CONFIGURATION_RELOADER_HPP_
