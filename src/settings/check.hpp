// Checks settings before anything is served by them: values out of bounds, and values that contradict each
// other. Pure functions, part of the decision module, whose constructor rejects settings with an error.
// docs/settings.md gives the reason why each finding is an error or only a warning.
#ifndef DISPATCHER_SETTINGS_CHECK_HPP_
#define DISPATCHER_SETTINGS_CHECK_HPP_

#include <stdexcept>
#include <vector>

#include "routing/settings.hpp"
#include "settings/finding.hpp"

namespace dispatcher::settings {

using routing::Settings;

// Everything that is wrong with the settings, in a fixed order; empty: nothing.
[[nodiscard]] std::vector<Finding> check(const Settings& settings);

// What is wrong beside that for a dispatcher that serves on sockets; the simulator has none.
[[nodiscard]] std::vector<Finding> check_socket_settings(const Settings& settings);

// Settings with at least one error. what() names the errors, as the log and the simulator show them.
struct InvalidSettingsError : std::invalid_argument {
  explicit InvalidSettingsError(std::vector<Finding> all);
  std::vector<Finding> findings;  // all that check() found, warnings too, in its order
};

// Throws InvalidSettingsError where check() finds an error.
void require_valid(const Settings& settings);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_CHECK_HPP_
