// Simulates a scenario in virtual time: any number of dispatchers, with the real engine and routing, in front
// of a simulated fleet.
#ifndef DISPATCHER_SIMULATION_SCENARIO_HPP_
#define DISPATCHER_SIMULATION_SCENARIO_HPP_

#include <cstdint>
#include <memory>

#include "degradation/levels.hpp"
#include "simulation/parameters.hpp"
#include "simulation/result.hpp"

namespace dispatcher::simulation {

// Runs a scenario to its end. The same parameters and seed give the same result. `levels` are the degradation
// levels of each dispatcher; null means that there are none. Uses no shared mutable state, so that
// simulations may run on several threads concurrently.
[[nodiscard]] Result simulate(const Parameters& parameters, std::uint64_t seed,
                              const std::shared_ptr<const degradation::LevelSet>& levels = nullptr);

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_SCENARIO_HPP_
