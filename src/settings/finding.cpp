#include "settings/finding.hpp"

#include <algorithm>

namespace dispatcher::settings {

bool has_error(const std::vector<Finding>& findings) {
  return std::any_of(findings.begin(), findings.end(),
                     [](const Finding& finding) { return finding.severity == Severity::kError; });
}

std::string describe(const Finding& finding) {
  const std::string expected = finding.expected.empty() ? "" : "; wanted: " + finding.expected;
  return "field '" + finding.field + "': " + finding.problem + expected;
}

std::string describe_errors(const std::vector<Finding>& findings) {
  std::string errors;
  for (const Finding& finding : findings) {
    if (finding.severity != Severity::kError) continue;
    if (!errors.empty()) errors += "; ";
    errors += describe(finding);
  }
  return errors;
}

}  // namespace dispatcher::settings
