// Checks settings before they are used: finds values that are out of bounds and values that contradict each
// other. Pure functions. They are part of the decision module: the constructor of Router rejects settings
// that have an error. docs/settings.md states why each finding is an error or only a warning.
#ifndef DISPATCHER_SETTINGS_CHECK_HPP_
#define DISPATCHER_SETTINGS_CHECK_HPP_

#include <stdexcept>
#include <vector>

#include "routing/settings.hpp"
#include "settings/finding.hpp"

namespace dispatcher::settings {

using routing::Settings;

// Returns all findings about the settings, in a fixed order; empty if there are none.
[[nodiscard]] std::vector<Finding> check(const Settings& settings);

// Returns the further findings for a dispatcher that serves on sockets, which the simulator does not do.
[[nodiscard]] std::vector<Finding> check_socket_settings(const Settings& settings);

// Thrown for settings with at least one error. what() describes the errors, in the form in which the log and
// the simulator show them.
struct InvalidSettingsError : std::invalid_argument {
  explicit InvalidSettingsError(std::vector<Finding> all);
  std::vector<Finding> findings;  // all findings of check(), including warnings, in its order
};

// Throws InvalidSettingsError if check() finds an error.
void require_valid(const Settings& settings);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_CHECK_HPP_
