// The command "sweep": simulates a scenario at many loads and seeds, with and without degradation levels.
#ifndef DISPATCHER_SIMULATOR_SWEEP_COMMAND_HPP_
#define DISPATCHER_SIMULATOR_SWEEP_COMMAND_HPP_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "degradation/levels.hpp"
#include "simulation/parameters.hpp"

namespace dispatcher::simulator {

// The options of the command.
struct SweepOptions {
  std::vector<double> loads = {0.6, 0.8, 1.0, 1.2, 1.4, 1.6};  // factors on the scenario's request rate
  std::size_t seeds = 20;                                      // runs of each load: seeds 1 to this
  std::string csv_path;                                        // of the table by run; empty: none
};

// Simulates on all cores; prints the means by load to standard output and the progress to standard error.
// `levels`: null: only without degradation levels. Throws FileError where the table cannot be created.
void sweep_scenario(const simulation::Parameters& parameters,
                    const std::shared_ptr<const degradation::LevelSet>& levels, const SweepOptions& options);

}  // namespace dispatcher::simulator

#endif  // DISPATCHER_SIMULATOR_SWEEP_COMMAND_HPP_
