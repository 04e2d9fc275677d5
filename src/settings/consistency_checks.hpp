// Checks of settings against each other: combinations that contradict each other or have no effect. Internal
// to the package.
#ifndef DISPATCHER_SETTINGS_CONSISTENCY_CHECKS_HPP_
#define DISPATCHER_SETTINGS_CONSISTENCY_CHECKS_HPP_

#include "routing/settings.hpp"
#include "settings/finding_collector.hpp"

namespace dispatcher::settings {

// Adds a finding for each combination of values that is wrong. Values that are out of bounds by themselves
// are not reported again.
void check_consistency(const routing::Settings& settings, FindingCollector& findings);

// Adds a finding for each setting that keeps a dispatcher on sockets from making or reusing connections.
void check_connection_times(const routing::Settings& settings, FindingCollector& findings);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_CONSISTENCY_CHECKS_HPP_
