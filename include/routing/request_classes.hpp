// Looks up request classes by name.
#ifndef DISPATCHER_ROUTING_REQUEST_CLASSES_HPP_
#define DISPATCHER_ROUTING_REQUEST_CLASSES_HPP_

#include <algorithm>
#include <string_view>

#include "routing/settings.hpp"

namespace dispatcher::routing {

// Returns the class with this name, which the settings own, or null if there is no such class.
[[nodiscard]] inline const RequestClass* find_class(const Settings& settings, std::string_view name) {
  const auto found = std::find_if(settings.classes.begin(), settings.classes.end(),
                                  [&](const RequestClass& known) { return known.name == name; });
  return found != settings.classes.end() ? &*found : nullptr;
}

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_REQUEST_CLASSES_HPP_
