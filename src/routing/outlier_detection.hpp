// Outlier detection: tracks the latencies and failures of endpoints, and ejects endpoints until they recover.
#ifndef DISPATCHER_ROUTING_OUTLIER_DETECTION_HPP_
#define DISPATCHER_ROUTING_OUTLIER_DETECTION_HPP_

#include <array>
#include <map>
#include <optional>
#include <string>

#include "routing/actions.hpp"
#include "routing/context.hpp"
#include "routing/endpoint_table.hpp"
#include "routing/moving_average.hpp"
#include "routing/request_state.hpp"

namespace dispatcher::routing {

// Returns the factor, at least 1, by which an endpoint is currently slower than its peers, as its recent
// latencies and this router's attempts that wait in its queue show.
[[nodiscard]] double slowdown(const Context& context, const Endpoint& endpoint);

// A failed attempt, as evidence against its endpoint.
struct Failure {
  AttemptStatus status{};
  bool is_alive = false;  // the endpoint runs, or did a moment ago; one connection or answer failed
};

// Keeps the latency averages and ejects endpoints. Owned by one Router and used on its thread.
class OutlierDetection {
 public:
  // Returns the average that applies to the attempt, in microseconds per token of start work: that of the
  // endpoint's role, or that of states fetched from another cell. Returns null if there are too few samples.
  [[nodiscard]] const MovingAverage* start_average(const Endpoint& endpoint, const RequestState& state) const;

  // Called when an attempt has given its first token or a read prompt. Returns its time relative to the
  // average.
  [[nodiscard]] double record_start(const Context& context, const Endpoint& endpoint,
                                    const RequestState& state, Duration elapsed);
  // Called when a stream has been served completely.
  void record_stream(const Context& context, Endpoint& endpoint, const RequestState& state);
  // Called while an attempt of this age still waits for its first token.
  void record_wait(Endpoint& endpoint, const RequestState& state, Duration age) const;
  // Called when an endpoint has responded. `latency_ratio` is its time relative to the average. Ends the
  // endpoint's ejection, if it is ejected. Returns the message for the operators' log, or nullopt if there is
  // none.
  [[nodiscard]] std::optional<LogMessage> record_success(const Context& context, Endpoint& endpoint,
                                                         double latency_ratio);
  // Called when an attempt has failed. May eject the endpoint. Returns the message for the operators' log, or
  // nullopt if there is none.
  [[nodiscard]] std::optional<LogMessage> record_failure(const Context& context,
                                                         const EndpointTable& endpoints, Endpoint& endpoint,
                                                         Failure failure);

  // Save and restore this module's part of the state that a hot restart transfers; see learned_state.hpp.
  void save(LearnedState& learned_state) const;
  void restore(const LearnedState& learned_state);

 private:
  // Microseconds per token of start work, by role. The last element is for states fetched over a cell's link,
  // as a slow link must not look like a slow writer.
  std::array<ExponentialMovingAverage, kRoles + 1> start_averages_;
  std::map<std::string, ExponentialMovingAverage> stream_averages_;  // stream durations in seconds, by class
  std::array<double, kRoles> failure_rates_{};                       // moving averages, by role
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_OUTLIER_DETECTION_HPP_
