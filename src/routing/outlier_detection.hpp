// Outlier detection: recent latencies and failures of endpoints, their ejection and return.
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

// Factor by which an endpoint is slower than its peers now, at least 1: by its recent latencies and by this
// router's attempts that wait in its queue.
[[nodiscard]] double slowdown(const Context& context, const Endpoint& endpoint);

// A failed attempt, as evidence against its endpoint.
struct Failure {
  AttemptStatus status{};
  bool is_alive = false;  // the endpoint runs, or did a moment ago: one connection or answer broke
};

// Keeps the latency averages and ejects endpoints. Owned by one Router and used on its thread.
class OutlierDetection {
 public:
  // Microseconds per token of start work in the attempt's role, or for states from another cell; null until
  // there are enough samples.
  [[nodiscard]] const MovingAverage* start_average(const Endpoint& endpoint, const RequestState& state) const;

  // An attempt gave its first token or a read prompt. Returns its time over the average.
  [[nodiscard]] double record_start(const Context& context, const Endpoint& endpoint,
                                    const RequestState& state, Duration elapsed);
  // A stream was served completely.
  void record_stream(const Context& context, Endpoint& endpoint, const RequestState& state);
  // An attempt of this age still waits for its first token.
  void record_wait(Endpoint& endpoint, const RequestState& state, Duration age) const;
  // An endpoint responded, with this time over the average; the ejection of one that was ejected ends.
  // Returns the message for the operators' log; empty: none.
  [[nodiscard]] std::optional<LogMessage> record_success(const Context& context, Endpoint& endpoint,
                                                         double latency_ratio);
  // An attempt failed; the endpoint may be ejected. Returns the message for the operators' log; empty: none.
  [[nodiscard]] std::optional<LogMessage> record_failure(const Context& context,
                                                         const EndpointTable& endpoints, Endpoint& endpoint,
                                                         Failure failure);

  // The part of a hot restart's state that is learned here: see learned_state.hpp.
  void save(LearnedState& learned_state) const;
  void restore(const LearnedState& learned_state);

 private:
  // Microseconds per token of start work: by role, and last for states fetched over a cell's link, as a slow
  // link must not look like a slow writer.
  std::array<ExponentialMovingAverage, kRoles + 1> start_averages_;
  std::map<std::string, ExponentialMovingAverage> stream_averages_;  // seconds a stream takes, by class
  std::array<double, kRoles> failure_rates_{};                       // moving averages, by role
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_OUTLIER_DETECTION_HPP_
