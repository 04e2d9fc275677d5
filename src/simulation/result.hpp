// The result of a simulation: the outcome of each request, and totals over the fleet.
#ifndef DISPATCHER_SIMULATION_RESULT_HPP_
#define DISPATCHER_SIMULATION_RESULT_HPP_

#include <cstddef>
#include <string>
#include <vector>

#include "routing/router.hpp"

namespace dispatcher::simulation {

using routing::Duration;
using routing::Time;

// The virtual clock's start: January 2027 as a Unix time, as deadlines of clients are Unix times.
inline constexpr Time kSimulationStart = std::chrono::seconds(1'800'000'000);

// The outcome of one request.
struct RequestOutcome {
  // kCut: its stream was aborted. kShed: by a degradation level. kOpen: it had no end when the simulation
  // ended. The order is that of the reports' columns.
  enum class End { kServed, kCut, kRejected, kShed, kFailed, kOpen };
  static constexpr std::size_t kEnds = 6;

  std::string request_class;
  End end = End::kOpen;
  Time submitted_at{};
  Duration latency_objective{};    // of its class, for its prompt
  Duration time_to_first_token{};  // of kServed and kCut
  bool is_in_time = false;         // the first token met the objective
};

// The name of the end in summaries and CSV headers.
[[nodiscard]] const char* name(RequestOutcome::End end);

// The result of a simulation.
struct Result {
  std::vector<RequestOutcome> outcomes;  // in the order of submission
  double served_weight = 0;              // sum of priority weights served; late ones count for less
  double total_weight = 0;               // sum of the priority weights of all requests
  std::size_t duplicate_executions = 0;  // non-idempotent requests that were executed more than once
  std::size_t leaked_states = 0;         // KV caches that are still retained at the end
  std::size_t level_changes = 0;         // of degradation levels, over all dispatchers
  // The fraction of the class's requests that were served in time; 1 where it had none.
  [[nodiscard]] double in_time_fraction(const std::string& request_class) const;
  // A row for each second and class, with the number of requests by their outcome.
  [[nodiscard]] std::string csv() const;
};

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_RESULT_HPP_
