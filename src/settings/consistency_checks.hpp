// Checks of settings against each other: combinations that contradict each other or have no effect. Internal
// to the package.
#ifndef DISPATCHER_SETTINGS_CONSISTENCY_CHECKS_HPP_
#define DISPATCHER_SETTINGS_CONSISTENCY_CHECKS_HPP_

#include "routing/settings.hpp"
#include "settings/finding_collector.hpp"

namespace dispatcher::settings {

// Adds what is wrong with combinations of values to `findings`. Values that are out of bounds by themselves
// are not reported again.
void check_consistency(const routing::Settings& settings, FindingCollector& findings);

// Adds what would prevent a dispatcher on sockets from making and reusing connections.
void check_connection_times(const routing::Settings& settings, FindingCollector& findings);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_CONSISTENCY_CHECKS_HPP_
