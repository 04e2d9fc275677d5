// Conversions of durations and roles. Contains no thresholds and no decisions.
#ifndef DISPATCHER_ROUTING_UNITS_HPP_
#define DISPATCHER_ROUTING_UNITS_HPP_

#include <cmath>
#include <cstddef>

#include "routing/settings.hpp"

namespace dispatcher::routing {

using Milliseconds = std::chrono::milliseconds;

constexpr std::size_t kRoles = 3;  // number of enumerators of Role

// Returns the index of a role in arrays of kRoles elements.
[[nodiscard]] inline std::size_t role_index(Role role) { return static_cast<std::size_t>(role); }

[[nodiscard]] inline double to_seconds(Duration duration) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

// Returns a multiple of a duration, rounded to the nearest microsecond.
[[nodiscard]] inline Duration scaled(Duration duration, double factor) {
  return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_UNITS_HPP_
