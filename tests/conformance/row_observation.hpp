// Runs a row of the tables and records the result, with the endpoint names that the row uses.
#ifndef DISPATCHER_TESTS_CONFORMANCE_ROW_OBSERVATION_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_ROW_OBSERVATION_HPP_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tables.hpp"

namespace dispatcher::routing::conformance {

using Scores = std::map<std::string, Score>;  // by endpoint
using Counts = std::map<std::string, double>;

// The result of one run of a row.
struct RowObservation {
  std::vector<std::string> path;  // the endpoints that the request was sent to
  std::string pick;               // the endpoint that the row is about; empty if there is none
  std::size_t index_keys = 0;
  Scores design_scores, module_scores;  // before the request is submitted
  Counts streams;
  std::set<std::string> writers;  // among which the design allows any choice
};

// Runs a row once. `number` is the number of the run if the row has many. Throws std::exception if the row is
// malformed or its state can't be established.
[[nodiscard]] RowObservation observe_row(const Json& row, const Tables& tables, int number);

// Runs a row as often as it says.
[[nodiscard]] std::vector<RowObservation> observe_all_runs(const Json& row, const Tables& tables);

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_ROW_OBSERVATION_HPP_
