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
  // The number of runs of each load, which have the seeds 1 to this number.
  std::size_t seeds = 20;
  // The path of the table by run; empty if none is written.
  std::string csv_path;
};

// Simulates the scenario on all cores. Prints the means by load to standard output, and the progress to
// standard error. If `levels` is null, simulates only without degradation levels. Throws FileError if the
// table cannot be created.
void sweep_scenario(const simulation::Parameters& parameters,
                    const std::shared_ptr<const degradation::LevelSet>& levels, const SweepOptions& options);

}  // namespace dispatcher::simulator

#endif  // DISPATCHER_SIMULATOR_SWEEP_COMMAND_HPP_
