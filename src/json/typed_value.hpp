// Conversion of JSON values to the types that settings and messages are made of. Shared by the parser of
// settings, the simulator's adapter and the parser of load reports.
#ifndef DISPATCHER_JSON_TYPED_VALUE_HPP_
#define DISPATCHER_JSON_TYPED_VALUE_HPP_

#include <cmath>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>

#include "routing/router.hpp"

namespace dispatcher::json {

/// The document type of all JSON in the dispatcher.
using Json = nlohmann::json;

/// Times must be below this number of milliseconds; longer ones would overflow as microseconds.
inline constexpr double kMaxMilliseconds = 1e15;
/// Durations are milliseconds in JSON and are stored in microseconds.
inline constexpr double kMicrosecondsPerMillisecond = 1000;

/// Returns the name of a type in error messages.
template <class T>
[[nodiscard]] constexpr const char* type_name() {
  if constexpr (std::is_same_v<T, std::string>) return "text";
  if constexpr (std::is_same_v<T, bool>) return "true or false";
  if constexpr (std::is_same_v<T, std::uint64_t>) return "whole number";
  return "number";
}
/// The name of a duration in error messages.
inline constexpr const char* kDurationTypeName = "number of milliseconds";

/// Returns whether the value can be converted to the type.
template <class T>
[[nodiscard]] bool is_convertible(const Json& value) {
  if constexpr (std::is_same_v<T, std::string>) return value.is_string();
  if constexpr (std::is_same_v<T, bool>) return value.is_boolean();
  if constexpr (std::is_same_v<T, std::uint64_t>) return value.is_number_unsigned();
  if constexpr (std::is_same_v<T, int>)
    return value.is_number() && std::abs(value.get<double>()) <= std::numeric_limits<int>::max();
  return value.is_number();
}

/// Converts the value to the type; rounds it to the nearest integer if the type is int. is_convertible() must
/// hold.
template <class T>
[[nodiscard]] T convert(const Json& value) {
  if constexpr (std::is_same_v<T, int>) return static_cast<int>(std::llround(value.get<double>()));
  return value.get<T>();
}

/// Returns whether the value is a number of milliseconds that convert_duration() can represent.
[[nodiscard]] inline bool is_duration(const Json& value) {
  return value.is_number() && std::abs(value.get<double>()) < kMaxMilliseconds;
}

/// Converts a number of milliseconds to a duration, rounded to the microsecond. is_duration() must hold.
[[nodiscard]] inline routing::Duration convert_duration(const Json& value) {
  return routing::Duration(std::llround(value.get<double>() * kMicrosecondsPerMillisecond));
}

/// Returns the value of a key; null if the key is missing or its value is null.
[[nodiscard]] inline const Json* find_member(const Json& object, const std::string& key) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

}  // namespace dispatcher::json

#endif  // DISPATCHER_JSON_TYPED_VALUE_HPP_
