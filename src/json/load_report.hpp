// Parses the load reports of endpoints, which answers, health checks and the simulator's messages contain.
#ifndef DISPATCHER_JSON_LOAD_REPORT_HPP_
#define DISPATCHER_JSON_LOAD_REPORT_HPP_

#include "json/members.hpp"
#include "routing/router.hpp"

namespace dispatcher::json {

/// Names of a report's members. They are part of the format that endpoints send and stay as they are.
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

/// Parses the members of `fields` that the dispatcher uses. Leaves the values of absent members empty and
/// ignores all other members. Throws ParseError if a used member is not a number.
[[nodiscard]] routing::LoadReport parse_load_report(const Json& fields);

}  // namespace dispatcher::json

#endif  // DISPATCHER_JSON_LOAD_REPORT_HPP_
