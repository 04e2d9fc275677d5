// Observation: passes the results of attempts, and the lack of results, to the modules that learn from them.
#ifndef DISPATCHER_ROUTING_RESPONSE_OBSERVER_HPP_
#define DISPATCHER_ROUTING_RESPONSE_OBSERVER_HPP_

#include <cstdint>
#include <optional>
#include <vector>

#include "routing/actions.hpp"
#include "routing/load_shedding.hpp"
#include "routing/open_requests.hpp"
#include "routing/outlier_detection.hpp"
#include "routing/role_balance.hpp"
#include "routing/slow_start.hpp"

namespace dispatcher::routing {

// Owns the modules that learn, which decisions depend on. Owned by one Router and used on its thread.
class ResponseObserver {
 public:
  // `seed`: see LoadShedding.
  explicit ResponseObserver(std::uint64_t seed) : shedding_(seed) {}

  // Counting begins.
  void start(Time now) { slow_start_.start(now); }
  void apply_settings(const Settings& settings) { shedding_.apply_settings(settings); }
  // To be called when time has passed or the endpoints have changed.
  void update(const Context& context, const EndpointTable& endpoints);

  // The first token of a request's answer arrived, so long after its attempt was sent. `endpoint` is null if
  // it is no longer known. Returns the message for the operators' log; empty: none.
  [[nodiscard]] std::optional<LogMessage> record_first_token(const Context& context, OpenRequests& requests,
                                                             Endpoint* endpoint, const RequestState& state,
                                                             Duration elapsed);
  // An attempt at the endpoint ended; it was in this phase. Returns the messages for the operators' log, in
  // order.
  [[nodiscard]] std::vector<LogMessage> record_completion(const Context& context,
                                                          const EndpointTable& endpoints,
                                                          OpenRequests& requests, Endpoint& endpoint,
                                                          const RequestState& state,
                                                          const AttemptCompleted& completed, Phase phase);
  // The request's attempt in flight still waits for its first token at the endpoint.
  void record_wait(const Context& context, Endpoint& endpoint, const RequestState& state) const;
  // Counts a request once that has passed its objective without a first token.
  void record_if_late(const Context& context, RequestState& state);

  // Whether a request that has just arrived must be rejected. `requests` includes it.
  [[nodiscard]] bool should_shed(const Context& context, const RequestState& state,
                                 const OpenRequests& requests);
  [[nodiscard]] const OutlierDetection& outliers() const { return outliers_; }
  [[nodiscard]] const SlowStart& slow_start() const { return slow_start_; }
  [[nodiscard]] const LoadShedding& shedding() const { return shedding_; }
  [[nodiscard]] const RoleBalance& balance() const { return balance_; }

  // The part of a hot restart's state that is learned here: see learned_state.hpp.
  void save(LearnedState& learned_state) const;
  void restore(const Context& context, const LearnedState& learned_state);

 private:
  [[nodiscard]] std::optional<LogMessage> record_start(const Context& context, OpenRequests& requests,
                                                       Endpoint& endpoint, const RequestState& state,
                                                       Duration elapsed);

  OutlierDetection outliers_;
  SlowStart slow_start_;
  LoadShedding shedding_;
  RoleBalance balance_;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_RESPONSE_OBSERVER_HPP_
