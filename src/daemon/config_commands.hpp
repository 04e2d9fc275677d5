// `llm-dispatcher check-config` and `show-config`: check and print a configuration without serving.
#ifndef DISPATCHER_DAEMON_CONFIG_COMMANDS_HPP_
#define DISPATCHER_DAEMON_CONFIG_COMMANDS_HPP_

#include <iosfwd>
#include <optional>

#include "cue/syntax.hpp"
#include "daemon/config.hpp"
#include "daemon/feature_files.hpp"

namespace dispatcher::daemon {

// Checks the files against the configuration and prints a summary. Throws ConfigError or cue::Errors if a
// file is invalid.
void check_config(const Config& config, const FeatureFiles& files, std::ostream& out);

// Prints the parsed configuration and, if `rules` is given, this instance's part of the limits in that file.
// Throws cue::Errors if that file is invalid.
void show_config(const Config& config, const std::optional<cue::File>& rules, std::ostream& out);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_CONFIG_COMMANDS_HPP_
