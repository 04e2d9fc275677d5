// Slow start of endpoints that have just started, by many routers that share nothing but the settings.
// The choice and its arithmetic: docs/design/slow-start.md.
#ifndef DISPATCHER_ROUTING_SLOW_START_HPP_
#define DISPATCHER_ROUTING_SLOW_START_HPP_

#include <array>
#include <deque>

#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"
#include "routing/request_state.hpp"

namespace dispatcher::routing {

[[nodiscard]] bool is_warming_up(const Context& context, const Endpoint& endpoint);

// The part of its capacity that an endpoint has at its age: 1 for a warm one.
[[nodiscard]] double warmup_fraction(const Context& context, const Endpoint& endpoint);

// The same, for dividing by.
[[nodiscard]] double effective_capacity(const Context& context, const Endpoint& endpoint);

// Measures what warm endpoints do for this router, and from that limits what it sends to those that warm up.
// Owned by one Router and used on its thread.
class SlowStart {
 public:
  // Counting of results begins.
  void start(Time now) { counting_since_ = now; }
  // A result of this endpoint has come.
  void record_result(const Context& context, const Endpoint& endpoint);
  // Updates the rates; called at each timer and whenever the endpoints have changed.
  void update(const Context& context, const EndpointTable& endpoints);

  // Whether this request may go to the endpoint now, as far as slow start is concerned.
  [[nodiscard]] bool admits(const Context& context, const EndpointTable& endpoints, const Endpoint& endpoint,
                            const RequestState& state) const;
  // Whether the endpoint warms up and this router's budget for it is less than one request a window, so that
  // a hash draws the requests that are open to it.
  [[nodiscard]] bool admits_by_draw(const Context& context, const Endpoint& endpoint) const;

  void save(LearnedState& learned_state) const;
  void restore(const Context& context, const LearnedState& learned_state);

 private:
  // Requests that this router may send to the endpoint in an overload window.
  [[nodiscard]] double budget(const Context& context, const Endpoint& endpoint) const;
  // The part of all requests that the endpoint is open to.
  [[nodiscard]] double draw_share(const Context& context, const EndpointTable& endpoints,
                                  const Endpoint& endpoint, const RequestState& state) const;

  // A result of a warm endpoint.
  struct Result {
    Time at{};
    double endpoint_share = 0;  // one over the number of warm endpoints then
  };

  std::array<std::deque<Result>, kRoles> results_;  // by role, the oldest first
  std::array<double, kRoles> warm_count_{};
  std::array<double, kRoles> warm_rate_{};  // results per second that one warm endpoint gives this router
  std::array<double, kRoles> ready_count_{};
  Time counting_since_{};
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_SLOW_START_HPP_
