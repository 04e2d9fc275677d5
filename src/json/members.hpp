// Typed access to the members of a JSON object. Throws at the first member that is missing or of a wrong
// type: it is meant for messages, which are rejected completely if one member is malformed.
#ifndef DISPATCHER_JSON_MEMBERS_HPP_
#define DISPATCHER_JSON_MEMBERS_HPP_

#include <string>

#include "json/parse_error.hpp"
#include "json/typed_value.hpp"

namespace dispatcher::json {

/// Throws the ParseError for a field that is required and absent.
[[noreturn]] inline void throw_missing(const std::string& key) {
  throw ParseError(ParseProblem::kMissingField, key);
}

/// Throws the ParseError for a field whose value is not what is `expected`, such as "number".
[[noreturn]] inline void throw_unexpected(const std::string& key, const std::string& expected) {
  throw ParseError(ParseProblem::kUnexpectedValue, key, expected);
}

/// Returns the value of a key, or `fallback` if it is missing or null. Throws ParseError.
template <class T>
[[nodiscard]] T optional_member(const Json& object, const std::string& key, T fallback = {}) {
  const Json* value = find_member(object, key);
  if (value == nullptr) return fallback;
  if (!is_convertible<T>(*value)) throw_unexpected(key, type_name<T>());
  return convert<T>(*value);
}

/// Returns the value of a key that must be present. Throws ParseError.
template <class T>
[[nodiscard]] T required_member(const Json& object, const std::string& key) {
  if (find_member(object, key) == nullptr) throw_missing(key);
  return optional_member<T>(object, key);
}

/// Returns the duration that a key holds in milliseconds; zero if it is missing or null. Throws ParseError.
[[nodiscard]] inline routing::Duration optional_duration(const Json& object, const std::string& key) {
  const Json* value = find_member(object, key);
  if (value == nullptr) return {};
  if (!is_duration(*value)) throw_unexpected(key, kDurationTypeName);
  return convert_duration(*value);
}

/// Returns the duration that a key, which must be present, holds in milliseconds. Throws ParseError.
[[nodiscard]] inline routing::Duration required_duration(const Json& object, const std::string& key) {
  if (find_member(object, key) == nullptr) throw_missing(key);
  return optional_duration(object, key);
}

/// Returns the value of a key that must be present and of the type, such as an object or an array. Throws
/// ParseError.
[[nodiscard]] inline const Json& required_value(const Json& object, const std::string& key,
                                                Json::value_t type) {
  const auto it = object.find(key);
  if (it == object.end()) throw_missing(key);
  if (it->type() != type) throw ParseError(ParseProblem::kWrongType, key);
  return *it;
}

}  // namespace dispatcher::json

#endif  // DISPATCHER_JSON_MEMBERS_HPP_
