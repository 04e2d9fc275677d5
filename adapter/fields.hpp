// Typed fields of JSON objects, for the wire's lines and the settings.
#ifndef DISPATCHER_ADAPTER_FIELDS_HPP_
#define DISPATCHER_ADAPTER_FIELDS_HPP_

#include <cmath>
#include <limits>
#include <string>
#include <type_traits>

#include "wire.hpp"

namespace dispatcher::wire {

// What is expected of a field of this type; converts a value that has it.
template <class T>
constexpr const char* expected() {
  if constexpr (std::is_same_v<T, std::string>) return "text";
  if constexpr (std::is_same_v<T, bool>) return "true or false";
  if constexpr (std::is_same_v<T, std::uint64_t>) return "whole number";
  return "number";
}
// Times are milliseconds; longer ones would not fit.
constexpr double kMaxMs = 1e15;

template <class T>
bool fits(const Json& value) {
  if constexpr (std::is_same_v<T, std::string>) return value.is_string();
  if constexpr (std::is_same_v<T, bool>) return value.is_boolean();
  if constexpr (std::is_same_v<T, std::uint64_t>) return value.is_number_unsigned();
  if constexpr (std::is_same_v<T, int>)
    return value.is_number() && std::abs(value.get<double>()) <= std::numeric_limits<int>::max();
  return value.is_number();
}
inline bool fits_ms(const Json& value) { return value.is_number() && std::abs(value.get<double>()) < kMaxMs; }

template <class T>
T convert(const Json& value) {
  if constexpr (std::is_same_v<T, int>) return static_cast<int>(std::llround(value.get<double>()));
  return value.get<T>();
}
inline routing::Duration from_ms(double ms) { return routing::Duration(std::llround(ms * 1000.0)); }

// The value of a key, or nothing where it is missing or null.
inline const Json* find(const Json& object, const std::string& key) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

}  // namespace dispatcher::wire

#endif  // DISPATCHER_ADAPTER_FIELDS_HPP_
