// Observation: passes the results of attempts, and their absence, to the modules that learn from them.
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

// Owns the modules that learn from results, on which decisions depend. Owned by one Router and used on its
// thread.
class ResponseObserver {
 public:
  // For `seed` see LoadShedding.
  explicit ResponseObserver(std::uint64_t seed) : shedding_(seed) {}

  // Starts the counting of results.
  void start(Time now) { slow_start_.start(now); }
  void apply_settings(const Settings& settings) { shedding_.apply_settings(settings); }
  // Must be called when time has passed or the endpoints have changed.
  void update(const Context& context, const EndpointTable& endpoints);

  // Called when the first token of a request's answer has arrived, `elapsed` after its attempt was sent.
  // `endpoint` is null if it is no longer known. Returns the message for the operators' log, or nullopt if
  // there is none.
  [[nodiscard]] std::optional<LogMessage> record_first_token(const Context& context, OpenRequests& requests,
                                                             Endpoint* endpoint, const RequestState& state,
                                                             Duration elapsed);
  // Called when an attempt at the endpoint has ended in `phase`. Returns the messages for the operators' log,
  // in order.
  [[nodiscard]] std::vector<LogMessage> record_completion(const Context& context,
                                                          const EndpointTable& endpoints,
                                                          OpenRequests& requests, Endpoint& endpoint,
                                                          const RequestState& state,
                                                          const AttemptCompleted& completed, Phase phase);
  // Called while the request's attempt in flight still waits for its first token at the endpoint.
  void record_wait(const Context& context, Endpoint& endpoint, const RequestState& state) const;
  // Counts a request as late, once, if it has passed its latency objective without a first token.
  void record_if_late(const Context& context, RequestState& state);

  // Returns whether a request that has just arrived must be rejected. `requests` includes it.
  [[nodiscard]] bool should_shed(const Context& context, const RequestState& state,
                                 const OpenRequests& requests);
  [[nodiscard]] const OutlierDetection& outliers() const { return outliers_; }
  [[nodiscard]] const SlowStart& slow_start() const { return slow_start_; }
  [[nodiscard]] const LoadShedding& shedding() const { return shedding_; }
  [[nodiscard]] const RoleBalance& balance() const { return balance_; }

  // Save and restore the state of these modules that a hot restart transfers; see learned_state.hpp.
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
