// Slow start: limits what many routers, which share nothing but the settings, send to endpoints that have
// just started. docs/design/slow-start.md explains the choice of the method and its arithmetic.
#ifndef DISPATCHER_ROUTING_SLOW_START_HPP_
#define DISPATCHER_ROUTING_SLOW_START_HPP_

#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"
#include "routing/request_state.hpp"
#include "routing/result_rates.hpp"
#include "routing/warmup.hpp"

namespace dispatcher::routing {

// Returns the share of its capacity that an endpoint has now, bounded from below so that loads can be divided
// by it.
[[nodiscard]] double effective_capacity(const Context& context, const Endpoint& endpoint);

// Measures how many results this router gets from warm endpoints, and limits accordingly what it sends to
// endpoints that are warming up. Owned by one Router and used on its thread.
class SlowStart {
 public:
  SlowStart();

  // Starts the counting of results.
  void start(Time now) { rates_.start(now); }
  // Called when the endpoint has given a result: a read prompt or a first token.
  void record_result(const Context& context, const Endpoint& endpoint) {
    rates_.record_result(context, endpoint);
  }
  // Updates the rates. Must be called at each timer and whenever the endpoints have changed.
  void update(const Context& context, const EndpointTable& endpoints) { rates_.update(context, endpoints); }

  // Returns whether slow start allows this request to be sent to the endpoint now.
  [[nodiscard]] bool admits(const Context& context, const EndpointTable& endpoints, const Endpoint& endpoint,
                            const RequestState& state) const;
  // Returns whether the endpoint is warming up and this router's budget for it is less than one request per
  // overload window. The requests that may be sent there are then drawn by hash.
  [[nodiscard]] bool admits_by_draw(const Context& context, const Endpoint& endpoint) const;

  // Save and restore this module's part of the state that a hot restart transfers; see learned_state.hpp.
  void save(LearnedState& learned_state) const { rates_.save(learned_state); }
  void restore(const Context& context, const LearnedState& learned_state) {
    rates_.restore(context, learned_state);
  }

 private:
  // Returns the number of requests that this router may send to the endpoint in an overload window.
  [[nodiscard]] double budget(const Context& context, const Endpoint& endpoint) const;
  // Returns the fraction of all requests that may be sent to the endpoint.
  [[nodiscard]] double draw_share(const Context& context, const EndpointTable& endpoints,
                                  const Endpoint& endpoint, const RequestState& state) const;
  // Returns whether the request's hash draws the endpoint in this overload window.
  [[nodiscard]] bool is_drawn(const Context& context, const EndpointTable& endpoints,
                              const Endpoint& endpoint, const RequestState& state) const;

  ResultRates rates_;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_SLOW_START_HPP_
