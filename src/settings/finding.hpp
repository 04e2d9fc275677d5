// A finding: one error or warning about a configuration, as a value that callers can test, sort and print.
#ifndef DISPATCHER_SETTINGS_FINDING_HPP_
#define DISPATCHER_SETTINGS_FINDING_HPP_

#include <string>
#include <vector>

namespace dispatcher::settings {

// What a finding means for the settings.
enum class Severity {
  kError,   // meaningless or contradictory, or no request could be served: the settings are rejected
  kWarning  // unreasonable, but with known and permitted effects: the settings are accepted
};

// A field, what is wrong with it and what was expected instead.
struct Finding {
  Severity severity{};
  std::string field;     // its path in the JSON form, such as limits.mostTries or categories[1].deadlineMs
  std::string problem;   // what is wrong, with the value
  std::string expected;  // what would be right; may be empty
};

// Returns whether at least one finding is an error.
[[nodiscard]] bool has_error(const std::vector<Finding>& findings);

// Formats a finding: "field 'limits.mostTries': 0; wanted: at least 1".
[[nodiscard]] std::string describe(const Finding& finding);

// Returns the descriptions of all errors, separated by "; "; empty if there is none.
[[nodiscard]] std::string describe_errors(const std::vector<Finding>& findings);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_FINDING_HPP_
