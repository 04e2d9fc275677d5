// The router: decides which endpoint serves each request, when to retry and when to reject.
//
// The router has no I/O, no clock and no thread of its own: the same events at the same times give the same
// actions. A dispatcher (the process that has the connections) builds one Router, passes each event to
// handle() in the order of occurrence and carries out the returned actions in order before it passes the next
// event:
//
//   Router router(settings, seed);
//   carry_out(router.handle(now, EndpointList{ListKind::kFull, endpoints}));
//   carry_out(router.handle(now, request));
//
// A request goes through these stages. Its prompt is read (prefill) by an attempt at a reader, which ends as
// kRead and leaves the prompt's state there; an attempt at a writer fetches that state and generates the
// answer (decode). A mixed endpoint does both in one attempt. The first token is reported by FirstToken, the
// end by AttemptCompleted; retries and rejections follow from these and from the timer that the router sets
// (SetTimer).
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
  std::size_t requests{};    // open requests, and ended ones with an attempt in flight
  std::size_t endpoints{};   // listed endpoints, and removed ones with attempts in flight
  std::size_t index_keys{};  // prompts in the prefix indexes of all endpoints
};

// The decision module of one dispatcher. One Router is used by one thread at a time; instances share nothing.
class Router {
 public:
  // Throws std::invalid_argument that names the invalid settings. `seed` should differ between the routers of
  // a fleet, so that decisions which are spread by hash differ as well. Nothing else throws, unless memory
  // runs out.
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Handles an event at time `now`, in microseconds since any fixed origin of a steady clock; a time before
  // the latest one seen counts as the latest. Returns the actions to carry out, in order.
  std::vector<Action> handle(Time now, const Event& event);
  // Returns the current table sizes, in one pass over the endpoints.
  [[nodiscard]] TableSizes table_sizes() const;
  // Returns what a successor process needs in order to continue; see LearnedState.
  [[nodiscard]] LearnedState learned_state() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ROUTER_HPP_
