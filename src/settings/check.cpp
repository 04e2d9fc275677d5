#include "settings/check.hpp"

#include <utility>

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

InvalidSettingsError::InvalidSettingsError(std::vector<Finding> all)
    : std::invalid_argument("routing: bad settings: " + describe_errors(all)), findings(std::move(all)) {}

void require_valid(const Settings& settings) {
  std::vector<Finding> findings = check(settings);
  if (has_error(findings)) throw InvalidSettingsError(std::move(findings));
}

}  // namespace dispatcher::settings
