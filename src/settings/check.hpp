// Checks settings before they are used: values out of bounds, and values that contradict each other. Pure
// functions, part of the decision module, whose constructor rejects settings with an error. docs/settings.md
// gives the reason why each finding is an error or only a warning.
#ifndef DISPATCHER_SETTINGS_CHECK_HPP_
#define DISPATCHER_SETTINGS_CHECK_HPP_

#include <stdexcept>
#include <vector>

#include "routing/settings.hpp"
#include "settings/finding.hpp"

namespace dispatcher::settings {

using routing::Settings;

// All findings about the settings, in a fixed order; empty: there are none.
[[nodiscard]] std::vector<Finding> check(const Settings& settings);

// Further findings for a dispatcher that serves on sockets; the simulator does not.
[[nodiscard]] std::vector<Finding> check_socket_settings(const Settings& settings);

// Settings with at least one error. what() names the errors, as the log and the simulator show them.
struct InvalidSettingsError : std::invalid_argument {
  explicit InvalidSettingsError(std::vector<Finding> all);
  std::vector<Finding> findings;  // all of check(), with the warnings, in its order
};

// Throws InvalidSettingsError where check() finds an error.
void require_valid(const Settings& settings);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_CHECK_HPP_
