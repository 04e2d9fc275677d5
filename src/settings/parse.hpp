// The one parser of the decision module's settings from their JSON form, which the configuration file of the
// daemon and the start message of the simulator share.
#ifndef DISPATCHER_SETTINGS_PARSE_HPP_
#define DISPATCHER_SETTINGS_PARSE_HPP_

#include <vector>

#include "json/members.hpp"
#include "routing/settings.hpp"
#include "settings/finding.hpp"

namespace dispatcher::settings {

// Settings that can't be parsed, with everything that is wrong with them; what() names the errors.
struct SettingsError : json::ParseError {
  explicit SettingsError(std::vector<Finding> all);
  std::vector<Finding> findings;  // errors and warnings, in the order of the reads
};

// Settings of which all members could be parsed.
struct ParsedSettings {
  routing::Settings settings;
  std::vector<Finding> warnings;  // such as names that are unknown and only inform
};

// Converts types and names only; whether the values make sense is for check(). Unknown members are ignored.
// Throws SettingsError.
[[nodiscard]] ParsedSettings parse_settings(const json::Json& source);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_PARSE_HPP_
