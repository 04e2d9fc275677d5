// Formats findings for operators, each with its line number in the configuration file.
#ifndef DISPATCHER_SETTINGS_REPORT_HPP_
#define DISPATCHER_SETTINGS_REPORT_HPP_

#include <string>
#include <string_view>
#include <vector>

#include "settings/finding.hpp"

namespace dispatcher::settings {

// Returns one message for each finding, in the order of the file: an error as
// "FILE:12: field 'settings.limits.mostTries': 0; wanted: at least 1", a warning as
// "FILE:12: warning: field ...". The paths of `findings` must start at the top of `json`, the file's text.
[[nodiscard]] std::vector<std::string> format_report(const std::string& file, std::string_view json,
                                                     const std::vector<Finding>& findings);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_REPORT_HPP_
