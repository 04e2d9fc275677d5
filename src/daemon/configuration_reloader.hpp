// Reloads the configuration of a running process. The files are read again and take effect completely or, if
// one of them is invalid, not at all.
#ifndef DISPATCHER_DAEMON_CONFIGURATION_RELOADER_HPP_
#define DISPATCHER_DAEMON_CONFIGURATION_RELOADER_HPP_

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "daemon/components.hpp"

namespace dispatcher::daemon {

// Reads the configuration files and applies them to the components. Owned by the Dispatcher and used on its
// event loop only; the components outlive it.
class ConfigurationReloader {
 public:
  // Reads all files. Throws ConfigError or cue::Errors if a file can't be read or is invalid.
  using ReadFiles = std::function<ConfigurationFiles()>;

  // If `read_files` is empty, reload() does nothing.
  ConfigurationReloader(Components& components, ReadFiles read_files)
      : components_(components), read_files_(std::move(read_files)) {}

  // Reloads all files. Never throws; success and failure are logged. docs/reload.md lists when each field
  // takes effect.
  void reload();

 private:
  // The content of the files in the form that the components accept.
  struct ParsedFiles {
    engine::SettingsSnapshot settings;
    std::optional<openai_api::Config> chat;
    std::shared_ptr<const rate_limit::RuleSet> rules;
    std::shared_ptr<const degradation::LevelSet> levels;
  };
  // Throws ConfigError or cue::Errors if a file is invalid. Changes nothing.
  [[nodiscard]] ParsedFiles parse(const ConfigurationFiles& files) const;
  // Applies the new configuration. Throws nothing, so that it takes effect completely.
  void apply(const Config& next, const ParsedFiles& parsed);
  void log_deferred_changes(const Config& next, const std::optional<openai_api::Config>& chat) const;
  void log_reloaded() const;
  void log_failure(const ConfigError& error) const;
  void log_failure(const std::exception& error) const;

  Components& components_;
  ReadFiles read_files_;
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_CONFIGURATION_RELOADER_HPP_
