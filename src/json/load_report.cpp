// Parses the members of load reports that the dispatcher uses.
#include "json/load_report.hpp"

#include <optional>

namespace dispatcher::json {

namespace {

std::optional<double> optional_number(const Json& object, const std::string& key) {
  if (find_member(object, key) == nullptr) return std::nullopt;
  return required_member<double>(object, key);
}

}  // namespace

routing::LoadReport parse_load_report(const Json& fields) {
  routing::LoadReport report;
  report.in_flight = optional_number(fields, load_report_keys::kInFlight);
  report.memory_share = optional_number(fields, load_report_keys::kMemoryShare);
  report.prompt_kilotokens = optional_number(fields, load_report_keys::kPromptKilotokens);
  return report;
}

}  // namespace dispatcher::json
