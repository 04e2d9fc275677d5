// Parses fields of the tables' JSON to values of the routing module. Every function throws
// std::runtime_error, or the JSON library's exception, if a field is malformed.
#ifndef DISPATCHER_TESTS_CONFORMANCE_TABLE_FIELDS_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_TABLE_FIELDS_HPP_

#include <chrono>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>

#include "routing/router.hpp"

namespace dispatcher::routing::conformance {

using Json = nlohmann::json;

// Throws std::runtime_error with this text.
[[noreturn]] void fail(const std::string& what);

// Throws if `object` has a field other than these, so that a misspelt field is not ignored.
void require_known_fields(const Json& object, std::initializer_list<const char*> fields);

// Returns a field in milliseconds, or the default if the field is absent.
[[nodiscard]] std::chrono::milliseconds parse_milliseconds(const Json& object, const char* field,
                                                           int default_value = 0);
// Parses "reader", "writer" or "mixed".
[[nodiscard]] Role parse_role(const std::string& word);
// Parses the status of an attempt that failed: "reset", "connect_failed" or "full".
[[nodiscard]] AttemptStatus parse_failure(const std::string& word);
[[nodiscard]] Settings parse_settings(const Json& json);
// Parses "r1", "r1@2" (in cell 2) or an object. The first letter of the name determines the kind.
[[nodiscard]] EndpointInfo parse_endpoint(const Json& json);
// Parses an object, or [thousands of prompt tokens, share of memory] with null for a value that is not
// reported.
[[nodiscard]] LoadReport parse_report(const Json& json);

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_TABLE_FIELDS_HPP_
