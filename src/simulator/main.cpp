// dispatcher-simulator, a tool to try settings and degradation levels on a simulated fleet in virtual time.
// It is not a part of the daemon.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <memory>
#include <string>

#include "degradation/degradation_controller.hpp"
#include "simulator/files.hpp"
#include "simulator/run_command.hpp"
#include "simulator/sweep_command.hpp"

namespace {

using namespace dispatcher;

constexpr int kExitFailure = 1;
constexpr int kMaxSeeds = 10'000;  // the maximum of --seeds, which bounds the duration of a sweep

enum class Command { kRun, kSweep };

// The values of the command line.
struct Options {
  Command command = Command::kRun;
  std::string scenario_path;
  std::string levels_path;  // empty if there are no degradation levels
  simulator::RunOptions run;
  simulator::SweepOptions sweep;
};

void add_scenario_option(CLI::App& command, Options& options) {
  command.add_option("scenario", options.scenario_path, "a file such as deploy/scenarios/calm.cue")
      ->required();
}

void add_levels_option(CLI::App& command, Options& options) {
  command.add_option("--levels", options.levels_path, "a file of degradation levels");
}

// Defines the command line. Parsing it writes to `options`, which must outlive the call of cli.parse().
void define_options(CLI::App& cli, Options& options) {
  cli.require_subcommand(1);
  CLI::App* const run = cli.add_subcommand("run", "simulate one scenario");
  run->callback([&options] { options.command = Command::kRun; });
  add_scenario_option(*run, options);
  run->add_option("--seed", options.run.seed, "seed of the random numbers");
  add_levels_option(*run, options);
  run->add_option("--csv", options.run.csv_path, "file for the outcomes by second and class");
  CLI::App* const sweep = cli.add_subcommand(
      "sweep", "simulate a scenario at many loads and seeds, with and without degradation levels");
  sweep->callback([&options] { options.command = Command::kSweep; });
  add_scenario_option(*sweep, options);
  sweep->add_option("--loads", options.sweep.loads, "factors on the scenario's request rate")->delimiter(',');
  sweep->add_option("--seeds", options.sweep.seeds, "number of seeds for each load")
      ->check(CLI::Range(1, kMaxSeeds));
  add_levels_option(*sweep, options);
  sweep->add_option("--csv", options.sweep.csv_path, "file for a row per run");
}

// Executes the command. Throws simulator::FileError and cue::Errors.
void execute(const Options& options) {
  const simulation::Parameters parameters =
      simulation::read_parameters(simulator::read_file(options.scenario_path));
  std::shared_ptr<const degradation::LevelSet> levels;
  if (!options.levels_path.empty())
    levels = degradation::DegradationController::read(simulator::read_file(options.levels_path),
                                                      parameters.settings);
  switch (options.command) {
    case Command::kRun:
      return simulator::run_scenario(parameters, levels, options.run);
    case Command::kSweep:
      return simulator::sweep_scenario(parameters, levels, options.sweep);
  }
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App cli("Runs dispatchers in front of a simulated fleet in virtual time.");
  define_options(cli, options);
  try {
    cli.parse(argc, argv);
    execute(options);
    return 0;
  } catch (const CLI::ParseError& error) {
    return cli.exit(error);
  } catch (const std::exception& error) {
    std::cerr << "dispatcher-simulator: " << error.what() << "\n";
    return kExitFailure;
  }
}
