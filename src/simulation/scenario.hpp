// Simulates a scenario in virtual time: any number of dispatchers, with the real engine and routing, before a
// simulated fleet.
#ifndef DISPATCHER_SIMULATION_SCENARIO_HPP_
#define DISPATCHER_SIMULATION_SCENARIO_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "degradation/levels.hpp"
#include "simulation/parameters.hpp"

namespace dispatcher::simulation {

// What became of one request.
struct RequestOutcome {
  std::string request_class;
  // kCut: its stream was aborted. kOpen: it had no end when the simulation ended.
  enum class End { kServed, kCut, kRejected, kShed, kFailed, kOpen } end = End::kOpen;
  Time submitted_at{};
  Duration latency_objective{};    // of its class, for its prompt
  Duration time_to_first_token{};  // of kServed and kCut
  bool is_in_time = false;         // the first token met the objective
};

// The end as reports write it.
const char* name(RequestOutcome::End end);

// The result of a simulation.
struct Result {
  std::vector<RequestOutcome> outcomes;        // in the order of submission
  double served_weight = 0, total_weight = 0;  // of the requests' priority weights
  std::size_t duplicate_executions = 0;        // non-idempotent requests that were executed more than once
  std::size_t leaked_states = 0;               // KV caches that are still retained at the end
  std::size_t level_changes = 0;               // of degradation levels, over all dispatchers
  // The fraction of the class's requests that were served in time; 1 where it had none.
  [[nodiscard]] double in_time_fraction(const std::string& request_class) const;
  // A row for each second and class, with the number of requests by their outcome.
  [[nodiscard]] std::string csv() const;
};

// The same parameters and seed give the same result. `levels`: the degradation levels of each dispatcher;
// null: none. Uses no state outside its own, so that simulations may run on several threads at once.
[[nodiscard]] Result simulate(const Parameters& parameters, std::uint64_t seed,
                              const std::shared_ptr<const degradation::LevelSet>& levels = nullptr);

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_SCENARIO_HPP_
