#include "row_check.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <exception>
#include <map>
#include <set>
#include <sstream>

#include "row_observation.hpp"

namespace dispatcher::routing::conformance {
namespace {

constexpr double kScoreTolerance = 0.002;    // largest rounding error of the row's figures
constexpr double kBandTolerance = 0.009;     // a score this near the edge of the tie band is ambiguous
constexpr double kEqualityTolerance = 1e-6;  // scores that differ by no more than this are equal
constexpr double kMinDeviation = 0.012;      // scores that differ by more do so because of a deviation

void append(Failures& failures, const Failures& more) {
  failures.insert(failures.end(), more.begin(), more.end());
}

// Converts figures to the form that they have in rows.
Json to_json(const Score& score) { return Json::array({score.prefix, score.load, score.memory, score.sum}); }
Json to_json(double count) { return Json::array({count}); }

template <typename Figure>
std::string to_text(const std::map<std::string, Figure>& figures) {
  std::ostringstream out;
  out.precision(3);
  for (const auto& [endpoint, figure] : figures) {
    out << " " << endpoint;
    for (const Json& number : to_json(figure)) out << " " << number.get<double>();
  }
  return out.str();
}

// Returns the endpoints that may win according to the row's expectation.
std::set<std::string> expected_winners(const Json& expected) {
  if (expected.contains("pick")) return {expected["pick"].get<std::string>()};
  if (expected.contains("any_of")) return expected["any_of"].get<std::set<std::string>>();
  if (expected.contains("path")) return {expected["path"].back().get<std::string>()};
  std::set<std::string> winners;
  if (!expected.contains("share")) return winners;
  for (const auto& item : expected["share"].items()) {
    if (item.value().at(1) > 0) winners.insert(item.key());
  }
  return winners;
}

bool is_within(const Json& range, double value) { return value >= range.at(0) && value <= range.at(1); }

// Compares the figures of one endpoint: those stated in the row and those computed.
bool are_equal(Json stated, const Json& computed) {
  if (stated.is_number()) stated = Json::array({stated});
  if (stated.size() != computed.size()) return false;
  for (std::size_t i = 0; i < computed.size(); ++i) {
    if (std::abs(stated[i].get<double>() - computed[i].get<double>()) > kScoreTolerance) return false;
  }
  return true;
}

template <typename Figure>
Failures check_figures(const char* field, const Json& row, const std::map<std::string, Figure>& computed) {
  const Json& stated = row.at(field);
  const bool holds =
      stated.size() == computed.size() && std::ranges::all_of(computed, [&stated](const auto& entry) {
        return are_equal(stated.value(entry.first, Json()), to_json(entry.second));
      });
  if (holds) return {};
  return {std::string(field) + " of the row: " + stated.dump() + ", computed:" + to_text(computed)};
}

bool deviates(const RowObservation& observation) {
  return std::ranges::any_of(observation.design_scores, [&observation](const auto& entry) {
    const double module_sum = observation.module_scores.at(entry.first).sum;
    return std::abs(entry.second.sum - module_sum) > kMinDeviation;
  });
}

// Checks that the expectation follows from the scores that decide, and that none of these is ambiguous about
// the tie band.
Failures check_expected_winners(const Json& row, const Scores& scores, double tie_band) {
  Failures failures;
  double best = 0;
  for (const auto& [endpoint, score] : scores) best = std::max(best, score.sum);
  std::set<std::string> winners;
  bool is_tie_by_band = false;  // the winners tie only because of the band
  for (const auto& [endpoint, score] : scores) {
    const double below = best - score.sum;
    if (below <= tie_band) {
      winners.insert(endpoint);
      is_tie_by_band = is_tie_by_band || below > kEqualityTolerance;
    }
    if (std::abs(below - tie_band) < kBandTolerance)
      failures.push_back(endpoint + " lies on the edge of the tie band:" + to_text(scores));
  }
  const std::set<std::string> expected = expected_winners(row.at("expected"));
  if (!expected.empty() && expected != winners)
    failures.push_back("the expected pick does not follow from" + to_text(scores));
  if (is_tie_by_band && row.value("deviation", "") != "tie-band")
    failures.push_back("a tie by the band alone, without the deviation 'tie-band':" + to_text(scores));
  return failures;
}

// Checks that the row's figures are those computed from its state, and that its expectation follows from
// them.
Failures check_scores(const Json& row, const RowObservation& observation, const Bounds& bounds) {
  Failures failures = check_figures("scores", row, observation.design_scores);
  const bool has_module_scores = row.contains("here");
  if (has_module_scores) {
    append(failures, check_figures("here", row, observation.module_scores));
    if (!row.contains("deviation")) failures.emplace_back("`here` without a deviation");
  } else if (deviates(observation)) {
    failures.push_back("no `here`, but with the module's own bounds the scores are" +
                       to_text(observation.module_scores));
  }
  const Scores& deciding = has_module_scores ? observation.module_scores : observation.design_scores;
  append(failures, check_expected_winners(row, deciding, bounds.tie_band));
  return failures;
}

Failures check_streams(const Json& row, const RowObservation& observation) {
  Failures failures = check_figures("streams", row, observation.streams);
  const std::set<std::string> expected = expected_winners(row.at("expected"));
  if (!row.contains("deviation") && expected != observation.writers)
    failures.push_back("the expected writer does not follow from" + to_text(observation.streams));
  return failures;
}

Failures check_first_run(const Json& expected, const RowObservation& observation) {
  Failures failures;
  const bool has_winners = expected.contains("pick") || expected.contains("any_of");
  if (has_winners && !expected_winners(expected).contains(observation.pick))
    failures.push_back("router picked '" + observation.pick + "', expected " + expected.dump());
  if (expected.contains("path") && expected["path"] != Json(observation.path))
    failures.push_back("router sent to " + Json(observation.path).dump() + ", expected " + expected.dump());
  if (expected.contains("index_keys") && expected["index_keys"] != observation.index_keys) {
    failures.push_back(std::to_string(observation.index_keys) + " keys are indexed, expected " +
                       expected.dump());
  }
  return failures;
}

Failures check_all_runs(const Json& expected, const std::vector<RowObservation>& observations) {
  Failures failures;
  std::map<std::string, int> picks;
  for (const RowObservation& observation : observations) ++picks[observation.pick];
  const auto distinct = static_cast<double>(picks.size());
  if (expected.contains("distinct") && !is_within(expected["distinct"], distinct))
    failures.push_back(std::to_string(picks.size()) + " endpoints were picked, expected " + expected.dump());
  if (!expected.contains("share")) return failures;
  for (const auto& item : expected["share"].items()) {
    const double share = picks[item.key()] / static_cast<double>(observations.size());
    if (is_within(item.value(), share)) continue;
    failures.push_back(item.key() + " got a share of " + std::to_string(share) + ", expected " +
                       item.value().dump());
  }
  return failures;
}

}  // namespace

Failures check_row(const Json& row, const Tables& tables) {
  try {
    const std::vector<RowObservation> observations = observe_all_runs(row, tables);
    const RowObservation& first = observations.front();
    Failures failures = check_first_run(row.at("expected"), first);
    append(failures, check_all_runs(row.at("expected"), observations));
    if (row.contains("scores")) append(failures, check_scores(row, first, tables.bounds));
    if (row.contains("streams")) append(failures, check_streams(row, first));
    return failures;
  } catch (const std::exception& error) {
    return {error.what()};
  }
}

}  // namespace dispatcher::routing::conformance
