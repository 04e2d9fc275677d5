#include "simulator/run_command.hpp"

#include <array>
#include <cstdio>
#include <map>

#include "simulation/scenario.hpp"
#include "simulator/files.hpp"

namespace dispatcher::simulator {

namespace {

using simulation::RequestOutcome;

using OutcomeCounts = std::array<std::size_t, RequestOutcome::kEndCount>;  // by RequestOutcome::End

std::map<std::string, OutcomeCounts> count_outcomes(const simulation::Result& result) {
  std::map<std::string, OutcomeCounts> counts_by_class;
  for (const RequestOutcome& outcome : result.outcomes)
    ++counts_by_class[outcome.request_class][static_cast<std::size_t>(outcome.end)];
  return counts_by_class;
}

void print_summary(const simulation::Result& result) {
  for (const auto& [request_class, counts] : count_outcomes(result)) {
    std::printf("%-10s in time %.4f:", request_class.c_str(), result.in_time_fraction(request_class));
    for (std::size_t i = 0; i < counts.size(); ++i)
      std::printf(" %s %zu", simulation::name(static_cast<RequestOutcome::End>(i)), counts[i]);
    std::printf("\n");
  }
  std::printf("priority weight %.4f, duplicate executions %zu, leaked states %zu, level changes %zu\n",
              result.served_weight / result.total_weight, result.duplicate_executions, result.leaked_states,
              result.level_changes);
}

}  // namespace

void run_scenario(const simulation::Parameters& parameters,
                  const std::shared_ptr<const degradation::LevelSet>& levels, const RunOptions& options) {
  const simulation::Result result = simulation::simulate(parameters, options.seed, levels);
  print_summary(result);
  if (options.csv_path.empty()) return;
  std::ofstream file = create_file(options.csv_path);
  if (!(file << result.csv())) throw FileError(FileOperation::kWrite, options.csv_path);
}

}  // namespace dispatcher::simulator
