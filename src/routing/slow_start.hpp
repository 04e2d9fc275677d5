// Slow start of endpoints that have just started, by many routers that share nothing but the settings.
// The choice and its arithmetic: docs/design/slow-start.md.
#ifndef DISPATCHER_ROUTING_SLOW_START_HPP_
#define DISPATCHER_ROUTING_SLOW_START_HPP_

#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"
#include "routing/request_state.hpp"
#include "routing/result_rates.hpp"
#include "routing/warmup.hpp"

namespace dispatcher::routing {

// The part of its capacity that an endpoint has now, bounded from below so that loads can be divided by it.
[[nodiscard]] double effective_capacity(const Context& context, const Endpoint& endpoint);

// Measures what warm endpoints do for this router, and from that limits what it sends to those that warm up.
// Owned by one Router and used on its thread.
class SlowStart {
 public:
  SlowStart();

  // Counting of results begins.
  void start(Time now) { rates_.start(now); }
  // The endpoint gave a result: a read prompt or a first token.
  void record_result(const Context& context, const Endpoint& endpoint) {
    rates_.record_result(context, endpoint);
  }
  // Updates the rates; to be called at each timer and whenever the endpoints have changed.
  void update(const Context& context, const EndpointTable& endpoints) { rates_.update(context, endpoints); }

  // Whether slow start lets this request go to the endpoint now.
  [[nodiscard]] bool admits(const Context& context, const EndpointTable& endpoints, const Endpoint& endpoint,
                            const RequestState& state) const;
  // Whether the endpoint warms up and this router's budget for it is less than one request per overload
  // window: which requests may go there is then drawn by hash.
  [[nodiscard]] bool admits_by_draw(const Context& context, const Endpoint& endpoint) const;

  // The part of a hot restart's state that is learned here: see learned_state.hpp.
  void save(LearnedState& learned_state) const { rates_.save(learned_state); }
  void restore(const Context& context, const LearnedState& learned_state) {
    rates_.restore(context, learned_state);
  }

 private:
  // Requests that this router may send to the endpoint in an overload window.
  [[nodiscard]] double budget(const Context& context, const Endpoint& endpoint) const;
  // The fraction of all requests that may go to the endpoint.
  [[nodiscard]] double draw_share(const Context& context, const EndpointTable& endpoints,
                                  const Endpoint& endpoint, const RequestState& state) const;
  // Whether the request's hash draws the endpoint in this overload window.
  [[nodiscard]] bool is_drawn(const Context& context, const EndpointTable& endpoints,
                              const Endpoint& endpoint, const RequestState& state) const;

  ResultRates rates_;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_SLOW_START_HPP_
