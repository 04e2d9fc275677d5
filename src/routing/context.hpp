// The inputs of every decision other than the tables of endpoints and requests.
#ifndef DISPATCHER_ROUTING_CONTEXT_HPP_
#define DISPATCHER_ROUTING_CONTEXT_HPP_

#include <memory>

#include "routing/settings.hpp"

namespace dispatcher::routing {

// The current settings and time. A request may have been admitted under earlier settings; see
// RequestState::settings.
struct Context {
  std::shared_ptr<const Settings> settings;
  Time now{};
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_CONTEXT_HPP_
