// Checks of each setting by itself: its bounds, and that names are unique. Internal to the package.
#ifndef DISPATCHER_SETTINGS_VALUE_CHECKS_HPP_
#define DISPATCHER_SETTINGS_VALUE_CHECKS_HPP_

#include "routing/settings.hpp"
#include "settings/finding_collector.hpp"

namespace dispatcher::settings {

// Adds a finding for each value that is wrong by itself.
void check_values(const routing::Settings& settings, FindingCollector& findings);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_VALUE_CHECKS_HPP_
