#include "settings/report.hpp"

#include <algorithm>
#include <utility>

#include "settings/json_line_index.hpp"

namespace dispatcher::settings {

std::vector<std::string> format_report(const std::string& file, std::string_view json,
                                       const std::vector<Finding>& findings) {
  const JsonLineIndex index(json);
  std::vector<std::pair<int, std::string>> by_line_number;
  for (const Finding& finding : findings) {
    const int line_number = index.line_number(finding.field);
    const char* label = finding.severity == Severity::kWarning ? " warning: " : " ";
    by_line_number.emplace_back(line_number,
                                file + ":" + std::to_string(line_number) + ":" + label + describe(finding));
  }
  std::stable_sort(by_line_number.begin(), by_line_number.end(),
                   [](const auto& one, const auto& other) { return one.first < other.first; });
  std::vector<std::string> messages;
  messages.reserve(by_line_number.size());
  for (auto& [line_number, message] : by_line_number) messages.push_back(std::move(message));
  return messages;
}

}  // namespace dispatcher::settings
