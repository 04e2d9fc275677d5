#include "settings/report.hpp"

#include <algorithm>
#include <utility>

#include "settings/positions.hpp"

namespace dispatcher::settings {

std::vector<std::string> report(const std::string& file, std::string_view json,
                                const std::vector<Finding>& findings) {
  const Positions positions(json);
  std::vector<std::pair<int, std::string>> numbered;
  for (const Finding& finding : findings) {
    const int line = positions.line_of(finding.field);
    const char* kind = finding.severity == Severity::kWarn ? " warning: " : " ";
    numbered.emplace_back(line, file + ":" + std::to_string(line) + ":" + kind + text(finding));
  }
  std::stable_sort(numbered.begin(), numbered.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<std::string> lines;
  for (auto& [line, told] : numbered) lines.push_back(std::move(told));
  return lines;
}

}  // namespace dispatcher::settings
