// Findings as lines for operators, each with the place in the file that it came from.
#ifndef DISPATCHER_SETTINGS_REPORT_HPP_
#define DISPATCHER_SETTINGS_REPORT_HPP_

#include <string>
#include <string_view>
#include <vector>

#include "settings/check.hpp"

namespace dispatcher::settings {

// "FILE:12: field 'settings.limits.mostTries': 0; wanted: at least 1", in the order of the file. Of what is
// only warned of: "FILE:12: warning: field ...". `findings` have their paths from the top of `json`.
std::vector<std::string> report(const std::string& file, std::string_view json,
                                const std::vector<Finding>& findings);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_REPORT_HPP_
