// What every decision depends on beside the tables.
#ifndef DISPATCHER_ROUTING_CONTEXT_HPP_
#define DISPATCHER_ROUTING_CONTEXT_HPP_

#include <memory>

#include "routing/settings.hpp"

namespace dispatcher::routing {

// The settings in force and the present time. A request may have come in under other settings.
struct Context {
  std::shared_ptr<const Settings> settings;
  Time now{};
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_CONTEXT_HPP_
