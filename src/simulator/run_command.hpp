// The command "run": simulates one scenario once.
#ifndef DISPATCHER_SIMULATOR_RUN_COMMAND_HPP_
#define DISPATCHER_SIMULATOR_RUN_COMMAND_HPP_

#include <cstdint>
#include <memory>
#include <string>

#include "degradation/levels.hpp"
#include "simulation/parameters.hpp"

namespace dispatcher::simulator {

// The options of the command.
struct RunOptions {
  std::uint64_t seed = 1;
  std::string csv_path;  // of the table by second and class; empty if none is written
};

// Simulates the scenario and prints a summary to standard output. If `levels` is null, there are no
// degradation levels. Throws FileError if the table cannot be written.
void run_scenario(const simulation::Parameters& parameters,
                  const std::shared_ptr<const degradation::LevelSet>& levels, const RunOptions& options);

}  // namespace dispatcher::simulator

#endif  // DISPATCHER_SIMULATOR_RUN_COMMAND_HPP_
