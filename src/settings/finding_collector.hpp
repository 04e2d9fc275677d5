// Collects findings while settings are checked, with the comparisons that many checks share. Internal to the
// package.
#ifndef DISPATCHER_SETTINGS_FINDING_COLLECTOR_HPP_
#define DISPATCHER_SETTINGS_FINDING_COLLECTOR_HPP_

#include <string>
#include <vector>

#include "routing/settings.hpp"
#include "settings/finding.hpp"

namespace dispatcher::settings {

// Formats a number for messages, with at most ten significant digits.
[[nodiscard]] std::string format_number(double value);
// Formats a duration for messages, in milliseconds: "12.5 ms".
[[nodiscard]] std::string format_ms(routing::Duration time);

// The longest valid duration of a setting. Longer ones are typing errors, and their multiples would overflow:
// a latency objective is multiplied by the length of a prompt, which the client chooses.
inline constexpr routing::Duration kMaxTime = std::chrono::hours(24);

// Collects the findings of one check in the order in which they are added. Lives on the stack of one call.
class FindingCollector {
 public:
  // Add a finding. `field` is the path of the setting in the JSON form. `expected` may be empty.
  void add_error(std::string field, std::string problem, std::string expected);
  void add_warning(std::string field, std::string problem, std::string expected);

  // Add an error if the time is out of bounds. The first two also add one if it is longer than kMaxTime.
  void require_not_negative(std::string field, routing::Duration time);
  void require_positive(std::string field, routing::Duration time);
  void require_no_longer_than(std::string field, routing::Duration time, routing::Duration maximum);

  // Add an error or a warning if the number is out of bounds. NaN is always out of bounds.
  void require_not_negative(std::string field, double value);
  void warn_if_negative(std::string field, double value);
  void warn_if_not_fraction(std::string field, double value);  // bounds: 0 to 1

  // Returns all findings and clears the collector.
  [[nodiscard]] std::vector<Finding> release();

 private:
  std::vector<Finding> findings_;
};

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_FINDING_COLLECTOR_HPP_
