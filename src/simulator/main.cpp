// dispatcher-simulator: tries designs on a model fleet in virtual time. The dispatcher has no part of it.
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

cue::File read(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error("cannot read '" + path + "'");
  return {path, text.str()};
}

void print(const simulation::Result& result) {
  std::map<std::string, std::array<std::size_t, 6>> ends;
  for (const simulation::RequestOutcome& o : result.outcomes)
    ++ends[o.request_class][static_cast<std::size_t>(o.end)];
  for (const auto& [name, counts] : ends) {
    std::printf("%-10s in time %.4f:", name.c_str(), result.in_time(name));
    for (std::size_t i = 0; i < counts.size(); ++i)
      std::printf(" %s %zu", simulation::name(static_cast<simulation::RequestOutcome::End>(i)), counts[i]);
    std::printf("\n");
  }
  std::printf("worth %.4f, run twice %zu, states left %zu, changes of level %zu\n",
              result.served_weight / result.total_weight, result.twice, result.pinned, result.changes);
}

// One day of a sweep.
struct Point {
  double load = 1;
  std::uint64_t seed = 0;
  bool levels = false;
  double served_weight = 0, ask = 0, command = 0;
  std::size_t changes = 0, twice = 0;
};

// Plays all points on all cores; which core plays which changes nothing in the results.
void play_all(std::vector<Point>& points, const simulation::Statistics& figures,
              const std::shared_ptr<const degradation::LevelSet>& levels) {
  std::atomic<std::size_t> next = 0, done = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < points.size(); i = next++) {
      Point& p = points[i];
      simulation::Statistics f = figures;
      f.rate *= p.load;
      const simulation::Result r = simulation::play(f, p.seed, p.levels ? levels : nullptr);
      p.served_weight = r.served_weight / r.total_weight;
      p.ask = r.in_time("ask");
      p.command = r.in_time("command");
      p.changes = r.changes;
      p.twice = r.twice;
      std::fprintf(stderr, "\r%zu of %zu days", ++done, points.size());
    }
  };
  std::vector<std::jthread> threads;
  for (unsigned t = 0; t < std::max(1U, std::thread::hardware_concurrency()); ++t) threads.emplace_back(work);
  threads.clear();  // joined
  std::fprintf(stderr, "\n");
}

int sweep(const simulation::Statistics& figures, const std::vector<double>& loads, std::size_t seeds,
          const std::shared_ptr<const degradation::LevelSet>& levels, std::ostream& csv) {
  std::vector<Point> points;
  for (const double load : loads) {
    for (const bool with : {false, true}) {
      for (std::uint64_t seed = 1; seed <= seeds && (!with || levels != nullptr); ++seed) {
        Point p;
        p.load = load;
        p.seed = seed;
        p.levels = with;
        points.push_back(p);
      }
    }
  }
  play_all(points, figures, levels);
  csv << "load,levels,seed,worth,ask_in_time,command_in_time,changes,run_twice\n";
  std::map<std::pair<double, bool>, std::pair<std::size_t, std::array<double, 4>>> means;
  for (const Point& p : points) {
    csv << p.load << "," << (p.levels ? "with" : "without") << "," << p.seed << "," << p.served_weight << ","
        << p.ask << "," << p.command << "," << p.changes << "," << p.twice << "\n";
    auto& [n, sums] = means[{p.load, p.levels}];
    ++n;
    const std::array<double, 4> values = {p.served_weight, p.ask, p.command, static_cast<double>(p.changes)};
    for (std::size_t i = 0; i < values.size(); ++i) sums[i] += values[i];
  }
  std::printf("load  levels    worth    ask  command  changes (means of %zu seeds)\n", seeds);
  for (const auto& [key, sums] : means) {
    const auto n = static_cast<double>(sums.first);
    std::printf("%4.2f  %-7s  %6.4f %6.4f   %6.4f  %7.1f\n", key.first, key.second ? "with" : "without",
                sums.second[0] / n, sums.second[1] / n, sums.second[2] / n, sums.second[3] / n);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App cli("Tries dispatchers on a model fleet in virtual time.");
  cli.require_subcommand(1);
  auto* run = cli.add_subcommand("run", "play one scenario");
  std::string scenario, levels, csv;
  std::uint64_t seed = 1;
  run->add_option("scenario", scenario, "a file such as deploy/scenarios/calm.cue")->required();
  run->add_option("--seed", seed, "another seed, another day");
  run->add_option("--levels", levels, "a file of levels of reduced service");
  run->add_option("--csv", csv, "where to write what happened each second");
  auto* sweeps =
      cli.add_subcommand("sweep", "play a scenario at many loads and seeds, with and without levels");
  std::vector<double> loads = {0.6, 0.8, 1.0, 1.2, 1.4, 1.6};
  std::size_t seeds = 20;
  sweeps->add_option("scenario", scenario, "a file such as deploy/scenarios/calm.cue")->required();
  sweeps->add_option("--loads", loads, "how many times the scenario's rate")->delimiter(',');
  sweeps->add_option("--seeds", seeds, "how many")->check(CLI::Range(1, 10'000));
  sweeps->add_option("--levels", levels, "a file of levels of reduced service");
  sweeps->add_option("--csv", csv, "where to write a line for each day");
  CLI11_PARSE(cli, argc, argv);
  try {
    const simulation::Statistics figures = simulation::read_figures(read(scenario));
    const auto reduced =
        levels.empty() ? nullptr : degradation::DegradationController::read(read(levels), figures.settings);
    if (*sweeps) {
      std::ofstream file;
      if (!csv.empty()) file.open(csv);
      if (!csv.empty() && !file) throw std::runtime_error("cannot write '" + csv + "'");
      return sweep(figures, loads, seeds, reduced, file);
    }
    const simulation::Result result = simulation::play(figures, seed, reduced);
    print(result);
    if (!csv.empty() && !(std::ofstream(csv) << result.csv()))
      throw std::runtime_error("cannot write '" + csv + "'");
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "dispatcher-simulator: " << e.what() << "\n";
    return 1;
  }
}
