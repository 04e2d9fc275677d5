// The parser of the decision module's settings from their JSON form, which the daemon's configuration file
// and the simulator's start message share.
#ifndef DISPATCHER_SETTINGS_PARSE_HPP_
#define DISPATCHER_SETTINGS_PARSE_HPP_

#include <vector>

#include "json/members.hpp"
#include "routing/settings.hpp"
#include "settings/finding.hpp"

namespace dispatcher::settings {

// Settings that can't be parsed, with all findings about them; what() names the errors.
struct SettingsError : json::ParseError {
  explicit SettingsError(std::vector<Finding> all);
  std::vector<Finding> findings;  // errors and warnings, in the order of the reads
};

// Settings whose members could all be parsed.
struct ParsedSettings {
  routing::Settings settings;
  std::vector<Finding> warnings;  // such as unknown names of informative settings
};

// Converts types and names only; check() validates the values. Unknown members are ignored.
// Throws SettingsError.
[[nodiscard]] ParsedSettings parse_settings(const json::Json& source);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_PARSE_HPP_
