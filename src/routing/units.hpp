// Conversions of durations and roles. Support: no threshold and no choice.
#ifndef DISPATCHER_ROUTING_UNITS_HPP_
#define DISPATCHER_ROUTING_UNITS_HPP_

#include <cmath>
#include <cstddef>

#include "routing/settings.hpp"

namespace dispatcher::routing {

using Milliseconds = std::chrono::milliseconds;

constexpr std::size_t kRoles = 3;

[[nodiscard]] inline std::size_t role_index(Role role) { return static_cast<std::size_t>(role); }

[[nodiscard]] inline double to_seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

[[nodiscard]] inline Duration scaled(Duration duration, double factor) {
  return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_UNITS_HPP_
