// Parses the load reports of endpoints, which answers, health checks and the simulator's messages contain.
#ifndef DISPATCHER_JSON_LOAD_REPORT_HPP_
#define DISPATCHER_JSON_LOAD_REPORT_HPP_

#include "json/members.hpp"
#include "routing/router.hpp"

namespace dispatcher::json {

/// Names of a report's members. They are part of the endpoints' format and stay as they are.
namespace load_report_keys {
inline constexpr const char* kInFlight = "rif";
inline constexpr const char* kQueued = "q";
inline constexpr const char* kBusy = "busy";
inline constexpr const char* kLatency = "lat_ms";
inline constexpr const char* kRate = "rate";
inline constexpr const char* kFailRate = "fail_rate";
inline constexpr const char* kMemoryShare = "x0";
inline constexpr const char* kPromptKilotokens = "x1";
}  // namespace load_report_keys

/// The report in the members of `fields`: those that the dispatcher uses. Absent ones are empty, unknown ones
/// are ignored. Throws ParseError where one is not a number.
[[nodiscard]] routing::LoadReport parse_load_report(const Json& fields);

}  // namespace dispatcher::json

#endif  // DISPATCHER_JSON_LOAD_REPORT_HPP_
