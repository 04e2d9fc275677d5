// dispatcher-simulator: tries settings and degradation levels on a simulated fleet in virtual time. The
// daemon has no part of it.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "degradation/degradation_controller.hpp"
#include "simulation/scenario.hpp"

namespace {

using namespace dispatcher;
using simulation::RequestOutcome;

using Levels = std::shared_ptr<const degradation::LevelSet>;

cue::File read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error("cannot read '" + path + "'");
  return {path, text.str()};
}

// ---- one run ----

void print(const simulation::Result& result) {
  constexpr std::size_t kEnds = 6;
  std::map<std::string, std::array<std::size_t, kEnds>> counts_by_class;
  for (const RequestOutcome& outcome : result.outcomes)
    ++counts_by_class[outcome.request_class][static_cast<std::size_t>(outcome.end)];
  for (const auto& [request_class, counts] : counts_by_class) {
    std::printf("%-10s in time %.4f:", request_class.c_str(), result.in_time_fraction(request_class));
    for (std::size_t i = 0; i < counts.size(); ++i)
      std::printf(" %s %zu", simulation::name(static_cast<RequestOutcome::End>(i)), counts[i]);
    std::printf("\n");
  }
  std::printf("worth %.4f, run twice %zu, states left %zu, changes of level %zu\n",
              result.served_weight / result.total_weight, result.duplicate_executions, result.leaked_states,
              result.level_changes);
}

void run(const simulation::Parameters& parameters, std::uint64_t seed, const Levels& levels,
         const std::string& csv) {
  const simulation::Result result = simulation::simulate(parameters, seed, levels);
  print(result);
  if (!csv.empty() && !(std::ofstream(csv) << result.csv()))
    throw std::runtime_error("cannot write '" + csv + "'");
}

// ---- a sweep ----

// One run of a sweep, and its result.
struct SweepPoint {
  double load = 1;  // over the scenario's rate
  std::uint64_t seed = 0;
  bool has_levels = false;
  double served_weight = 0, ask_in_time = 0, command_in_time = 0;  // fractions
  std::size_t level_changes = 0, duplicate_executions = 0;
};

void simulate(SweepPoint& point, simulation::Parameters parameters, const Levels& levels) {
  parameters.request_rate *= point.load;
  const simulation::Result result =
      simulation::simulate(parameters, point.seed, point.has_levels ? levels : nullptr);
  point.served_weight = result.served_weight / result.total_weight;
  point.ask_in_time = result.in_time_fraction("ask");
  point.command_in_time = result.in_time_fraction("command");
  point.level_changes = result.level_changes;
  point.duplicate_executions = result.duplicate_executions;
}

// Simulates all points on all cores; which core takes which point changes nothing in the results.
void simulate_all(std::vector<SweepPoint>& points, const simulation::Parameters& parameters,
                  const Levels& levels) {
  std::atomic<std::size_t> next = 0, done = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < points.size(); i = next++) {
      simulate(points[i], parameters, levels);
      std::fprintf(stderr, "\r%zu of %zu days", ++done, points.size());
    }
  };
  std::vector<std::jthread> threads;
  const unsigned cores = std::max(1U, std::thread::hardware_concurrency());
  for (unsigned i = 0; i < cores; ++i) threads.emplace_back(work);
  threads.clear();  // joins them
  std::fprintf(stderr, "\n");
}

std::vector<SweepPoint> make_points(const std::vector<double>& loads, std::size_t seeds, bool has_levels) {
  std::vector<SweepPoint> points;
  for (const double load : loads) {
    for (const bool with_levels : {false, true}) {
      if (with_levels && !has_levels) continue;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SweepPoint point;
        point.load = load;
        point.seed = seed;
        point.has_levels = with_levels;
        points.push_back(point);
      }
    }
  }
  return points;
}

void write_csv(const std::vector<SweepPoint>& points, std::ostream& csv) {
  csv << "load,levels,seed,worth,ask_in_time,command_in_time,changes,run_twice\n";
  for (const SweepPoint& point : points) {
    csv << point.load << "," << (point.has_levels ? "with" : "without") << "," << point.seed << ","
        << point.served_weight << "," << point.ask_in_time << "," << point.command_in_time << ","
        << point.level_changes << "," << point.duplicate_executions << "\n";
  }
}

void print_means(const std::vector<SweepPoint>& points, std::size_t seeds) {
  struct Sums {
    double points = 0, served_weight = 0, ask_in_time = 0, command_in_time = 0, level_changes = 0;
  };
  std::map<std::pair<double, bool>, Sums> sums_by_load;
  for (const SweepPoint& point : points) {
    Sums& sums = sums_by_load[{point.load, point.has_levels}];
    sums.points += 1;
    sums.served_weight += point.served_weight;
    sums.ask_in_time += point.ask_in_time;
    sums.command_in_time += point.command_in_time;
    sums.level_changes += static_cast<double>(point.level_changes);
  }
  std::printf("load  levels    worth    ask  command  changes (means of %zu seeds)\n", seeds);
  for (const auto& [key, sums] : sums_by_load) {
    const auto& [load, has_levels] = key;
    std::printf("%4.2f  %-7s  %6.4f %6.4f   %6.4f  %7.1f\n", load, has_levels ? "with" : "without",
                sums.served_weight / sums.points, sums.ask_in_time / sums.points,
                sums.command_in_time / sums.points, sums.level_changes / sums.points);
  }
}

void sweep(const simulation::Parameters& parameters, const std::vector<double>& loads, std::size_t seeds,
           const Levels& levels, const std::string& csv) {
  std::ofstream file;
  if (!csv.empty()) file.open(csv);
  if (!csv.empty() && !file) throw std::runtime_error("cannot write '" + csv + "'");
  std::vector<SweepPoint> points = make_points(loads, seeds, levels != nullptr);
  simulate_all(points, parameters, levels);
  write_csv(points, file);
  print_means(points, seeds);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App cli("Tries dispatchers on a model fleet in virtual time.");
  cli.require_subcommand(1);
  auto* run_command = cli.add_subcommand("run", "play one scenario");
  std::string scenario, levels_path, csv;
  std::uint64_t seed = 1;
  run_command->add_option("scenario", scenario, "a file such as deploy/scenarios/calm.cue")->required();
  run_command->add_option("--seed", seed, "another seed, another day");
  run_command->add_option("--levels", levels_path, "a file of levels of reduced service");
  run_command->add_option("--csv", csv, "where to write what happened each second");
  auto* sweep_command =
      cli.add_subcommand("sweep", "play a scenario at many loads and seeds, with and without levels");
  std::vector<double> loads = {0.6, 0.8, 1.0, 1.2, 1.4, 1.6};
  std::size_t seeds = 20;
  sweep_command->add_option("scenario", scenario, "a file such as deploy/scenarios/calm.cue")->required();
  sweep_command->add_option("--loads", loads, "how many times the scenario's rate")->delimiter(',');
  sweep_command->add_option("--seeds", seeds, "how many")->check(CLI::Range(1, 10'000));
  sweep_command->add_option("--levels", levels_path, "a file of levels of reduced service");
  sweep_command->add_option("--csv", csv, "where to write a line for each day");
  CLI11_PARSE(cli, argc, argv);
  try {
    const simulation::Parameters parameters = simulation::read_parameters(read_file(scenario));
    Levels levels;
    if (!levels_path.empty())
      levels = degradation::DegradationController::read(read_file(levels_path), parameters.settings);
    if (*sweep_command) {
      sweep(parameters, loads, seeds, levels, csv);
    } else {
      run(parameters, seed, levels, csv);
    }
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "dispatcher-simulator: " << error.what() << "\n";
    return 1;
  }
}
