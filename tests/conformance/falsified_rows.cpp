// Creates rows whose expectation is false, which the checks of rows must reject.
#include <set>
#include <string>

#include "row_check.hpp"
#include "row_observation.hpp"

namespace dispatcher::routing::conformance {
namespace {

constexpr const char* kFigureFields[] = {"scores", "here", "streams"};

Json falsified_expectation(const std::string& name, const Json& value) {
  if (name == "pick") return "another " + value.get<std::string>();
  if (name == "any_of") return Json::array({"nobody"});
  if (name == "index_keys") return value.get<int>() + 1;
  if (name == "distinct") return Json::array({1000, 1001});
  Json falsified = value;
  if (name == "path") falsified.push_back("one more");
  if (name == "share") {
    for (auto& range : falsified) range = Json::array({1.1, 2});
  }
  return falsified;
}

// Returns the row with another expectation and without its figures, so that only the check of the router can
// find the false expectation.
Json with_expectation(const Json& row, const std::string& name, const Json& value) {
  Json falsified = row;
  for (const char* field : kFigureFields) falsified.erase(field);
  falsified["expected"][name] = value;
  return falsified;
}

// Adds rows that expect another endpoint of the same row instead of the right one, as a faulty module would
// pick.
void add_other_picks(const Json& row, const Tables& tables, std::vector<Json>& rows) {
  const RowObservation observation = observe_row(row, tables, 0);
  std::set<std::string> others;
  for (const auto& [endpoint, score] : observation.design_scores) others.insert(endpoint);
  for (const auto& [endpoint, count] : observation.streams) others.insert(endpoint);
  others.erase(observation.pick);
  for (const std::string& endpoint : others) rows.push_back(with_expectation(row, "pick", endpoint));
  if (!row.contains("scores") || others.empty()) return;
  // The router's pick is among these endpoints, but the expectation does not follow from the figures.
  Json falsified = row;
  others.insert(row["expected"]["pick"].get<std::string>());
  falsified["expected"] = {{"any_of", others}};
  rows.push_back(falsified);
}

void add_wrong_figures(const Json& row, const char* field, std::vector<Json>& rows) {
  if (!row.contains(field) || row[field].empty()) return;
  Json falsified = row;
  Json& first = *falsified[field].begin();
  Json& figure = first.is_array() ? first.back() : first;
  figure = figure.get<double>() + 0.1;
  rows.push_back(falsified);
}

}  // namespace

std::vector<Json> falsified_rows(const Json& row, const Tables& tables) {
  std::vector<Json> rows;
  for (const auto& item : row.at("expected").items()) {
    const Json falsified = falsified_expectation(item.key(), item.value());
    rows.push_back(with_expectation(row, item.key(), falsified));
  }
  if (row.at("expected").contains("pick")) add_other_picks(row, tables, rows);
  for (const char* field : kFigureFields) add_wrong_figures(row, field, rows);
  return rows;
}

}  // namespace dispatcher::routing::conformance
