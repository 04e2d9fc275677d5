#include "simulator/sweep_command.hpp"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <map>
#include <ostream>
#include <thread>
#include <utility>

#include "simulation/scenario.hpp"
#include "simulator/files.hpp"

namespace dispatcher::simulator {

namespace {

using SharedLevels = std::shared_ptr<const degradation::LevelSet>;

// Whether the dispatchers of a run have degradation levels.
enum class Degradation { kWithoutLevels, kWithLevels };

// Returns the name in the table and in the printed means.
const char* name(Degradation degradation) {
  return degradation == Degradation::kWithLevels ? "with" : "without";
}

// One run of a sweep and its result.
struct SweepPoint {
  double load = 1;  // factor on the scenario's request rate
  std::uint64_t seed = 0;
  Degradation degradation{};
  double served_weight = 0;    // fraction of the total priority weight
  double ask_in_time = 0;      // fraction of the requests of class "ask"
  double command_in_time = 0;  // fraction of the requests of class "command"
  std::size_t level_changes = 0;
  std::size_t duplicate_executions = 0;
};

// Returns the runs, without their results, in the order of the table.
std::vector<SweepPoint> make_points(const SweepOptions& options, const SharedLevels& levels) {
  std::vector<Degradation> variants = {Degradation::kWithoutLevels};
  if (levels) variants.push_back(Degradation::kWithLevels);
  std::vector<SweepPoint> points;
  for (const double load : options.loads) {
    for (const Degradation degradation : variants) {
      for (std::uint64_t seed = 1; seed <= options.seeds; ++seed) {
        SweepPoint point;
        point.load = load;
        point.seed = seed;
        point.degradation = degradation;
        points.push_back(point);
      }
    }
  }
  return points;
}

void simulate(SweepPoint& point, simulation::Parameters parameters, const SharedLevels& levels) {
  parameters.request_rate *= point.load;
  const bool has_levels = point.degradation == Degradation::kWithLevels;
  const simulation::Result result =
      simulation::simulate(parameters, point.seed, has_levels ? levels : nullptr);
  point.served_weight = result.served_weight / result.total_weight;
  point.ask_in_time = result.in_time_fraction("ask");
  point.command_in_time = result.in_time_fraction("command");
  point.level_changes = result.level_changes;
  point.duplicate_executions = result.duplicate_executions;
}

// Simulates all points on all cores. The results do not depend on which core simulates which point.
void simulate_all(std::vector<SweepPoint>& points, const simulation::Parameters& parameters,
                  const SharedLevels& levels) {
  std::atomic<std::size_t> next = 0;
  std::atomic<std::size_t> completed = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < points.size(); i = next++) {
      simulate(points[i], parameters, levels);
      std::fprintf(stderr, "\r%zu of %zu runs", ++completed, points.size());
    }
  };
  std::vector<std::jthread> threads;
  const unsigned cores = std::max(1U, std::thread::hardware_concurrency());
  for (unsigned i = 0; i < cores; ++i) threads.emplace_back(work);
  threads.clear();  // joins the threads
  std::fprintf(stderr, "\n");
}

void write_csv(const std::vector<SweepPoint>& points, std::ostream& csv) {
  csv << "load,levels,seed,worth,ask_in_time,command_in_time,changes,run_twice\n";
  for (const SweepPoint& point : points) {
    csv << point.load << "," << name(point.degradation) << "," << point.seed << "," << point.served_weight
        << "," << point.ask_in_time << "," << point.command_in_time << "," << point.level_changes << ","
        << point.duplicate_executions << "\n";
  }
}

// Sums over the runs of one load, with or without degradation levels.
struct Sums {
  double points = 0;  // the number of runs
  double served_weight = 0;
  double ask_in_time = 0;
  double command_in_time = 0;
  double level_changes = 0;
};

using SumsByLoad = std::map<std::pair<double, Degradation>, Sums>;

SumsByLoad sum_by_load(const std::vector<SweepPoint>& points) {
  SumsByLoad sums_by_load;
  for (const SweepPoint& point : points) {
    Sums& sums = sums_by_load[{point.load, point.degradation}];
    sums.points += 1;
    sums.served_weight += point.served_weight;
    sums.ask_in_time += point.ask_in_time;
    sums.command_in_time += point.command_in_time;
    sums.level_changes += static_cast<double>(point.level_changes);
  }
  return sums_by_load;
}

void print_means(const std::vector<SweepPoint>& points, std::size_t seeds) {
  std::printf("load  levels   weight    ask  command  changes (means of %zu seeds)\n", seeds);
  for (const auto& [key, sums] : sum_by_load(points)) {
    const auto& [load, degradation] = key;
    std::printf("%4.2f  %-7s  %6.4f %6.4f   %6.4f  %7.1f\n", load, name(degradation),
                sums.served_weight / sums.points, sums.ask_in_time / sums.points,
                sums.command_in_time / sums.points, sums.level_changes / sums.points);
  }
}

}  // namespace

void sweep_scenario(const simulation::Parameters& parameters, const SharedLevels& levels,
                    const SweepOptions& options) {
  // Creates the file before the simulations, which take long, so that a path that cannot be written is
  // reported immediately.
  std::ofstream csv;
  if (!options.csv_path.empty()) csv = create_file(options.csv_path);
  std::vector<SweepPoint> points = make_points(options, levels);
  simulate_all(points, parameters, levels);
  if (csv.is_open()) write_csv(points, csv);
  print_means(points, options.seeds);
}

}  // namespace dispatcher::simulator
