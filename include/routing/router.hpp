// The router: decides which endpoint serves each request, when to retry and when to reject.
//
// Pure: no I/O, no clock, no thread of its own. A dispatcher builds one Router, passes each thing that
// happens to handle() in order and carries out the returned actions in order, at once.
#ifndef DISPATCHER_ROUTING_ROUTER_HPP_
#define DISPATCHER_ROUTING_ROUTER_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "routing/actions.hpp"
#include "routing/events.hpp"
#include "routing/settings.hpp"

namespace dispatcher::routing {

// Numbers of table entries, for monitoring memory over long uptimes.
struct TableSizes {
  std::size_t requests{}, endpoints{}, index_keys{};
};

// The decision module of one dispatcher. One Router is used by one thread at a time; instances share nothing.
class Router {
 public:
  // Throws std::invalid_argument that names the invalid settings. `seed` tells routers of a fleet apart in
  // decisions that are spread by hash. Nothing else throws, except for lack of memory.
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Takes an event at time `now`, in microseconds since any fixed origin of a steady clock; a time before the
  // latest one seen is taken as the latest. Returns what is to be done, in order.
  std::vector<Action> handle(Time now, const Event& event);
  [[nodiscard]] TableSizes table_sizes() const;
  // What a successor process needs in order to continue (see LearnedState).
  [[nodiscard]] LearnedState learned_state() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ROUTER_HPP_
