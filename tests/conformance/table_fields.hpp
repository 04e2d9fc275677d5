// Fields of the tables' JSON, read as the values that the routing module takes. Every function throws
// std::runtime_error, or the JSON library's exception, where a field is malformed.
#ifndef DISPATCHER_TESTS_CONFORMANCE_TABLE_FIELDS_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_TABLE_FIELDS_HPP_

#include <chrono>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>

#include "routing/router.hpp"

namespace dispatcher::routing::conformance {

using Json = nlohmann::json;

[[noreturn]] void fail(const std::string& what);

// Throws where `object` has a field that is none of these: a misspelt one must not be passed over.
void require_known_fields(const Json& object, std::initializer_list<const char*> fields);

// Zero, or the given default, where the field is absent.
[[nodiscard]] std::chrono::milliseconds parse_milliseconds(const Json& object, const char* field,
                                                           int default_value = 0);
// "reader", "writer" or "mixed".
[[nodiscard]] Role parse_role(const std::string& word);
// The status of an attempt that failed: "reset", "connect_failed" or "full".
[[nodiscard]] AttemptStatus parse_failure(const std::string& word);
[[nodiscard]] Settings parse_settings(const Json& json);
// "r1", "r1@2" (in cell 2) or an object. The first letter tells the kind.
[[nodiscard]] EndpointInfo parse_endpoint(const Json& json);
// An object, or [thousands of prompt tokens, share of memory] with null for what is not reported.
[[nodiscard]] LoadReport parse_report(const Json& json);

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_TABLE_FIELDS_HPP_
