// The parser of the decision module's settings from their JSON form, which the daemon's configuration file
// and the simulator's start message share.
#ifndef DISPATCHER_SETTINGS_PARSE_HPP_
#define DISPATCHER_SETTINGS_PARSE_HPP_

#include <vector>

#include "json/members.hpp"
#include "routing/settings.hpp"
#include "settings/finding.hpp"

namespace dispatcher::settings {

// Thrown for settings that can't be parsed, with all findings about them. what() describes the errors.
struct SettingsError : json::ParseError {
  explicit SettingsError(std::vector<Finding> all);
  std::vector<Finding> findings;  // errors and warnings, in the order in which members are read
};

// Settings that were parsed without an error.
struct ParsedSettings {
  routing::Settings settings;
  std::vector<Finding> warnings;  // such as unknown names of informative settings
};

// Parses settings from their JSON form. Converts types and names only; check() validates the values. Ignores
// unknown members. Throws SettingsError.
[[nodiscard]] ParsedSettings parse_settings(const json::Json& source);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_PARSE_HPP_
