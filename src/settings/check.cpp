#include "settings/check.hpp"

#include <stdexcept>

#include "settings/consistency_checks.hpp"
#include "settings/finding_collector.hpp"
#include "settings/value_checks.hpp"

namespace dispatcher::settings {

std::vector<Finding> check(const Settings& settings) {
  FindingCollector findings;
  check_values(settings, findings);
  check_consistency(settings, findings);
  return findings.release();
}

std::vector<Finding> check_socket_settings(const Settings& settings) {
  FindingCollector findings;
  check_connection_times(settings, findings);
  return findings.release();
}

void require_valid(const Settings& settings) {
  const std::string errors = describe_errors(check(settings));
  if (!errors.empty()) throw std::invalid_argument("routing: bad settings: " + errors);
}

}  // namespace dispatcher::settings
