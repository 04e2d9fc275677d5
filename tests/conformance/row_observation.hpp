// Plays a row of the tables and keeps what it showed, by the names that the row uses.
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

// What one play of a row showed.
struct RowObservation {
  std::vector<std::string> path;  // the endpoints that the request was sent to
  std::string pick;               // the one that the row is about; empty: none
  std::size_t index_keys = 0;
  Scores design_scores, module_scores;  // before the request is submitted
  Counts streams;
  std::set<std::string> writers;  // that the design leaves to choose from
};

// Plays a row once; `number` is that of the play where it is played many times. Throws std::exception where
// the row is malformed or can't be brought about.
[[nodiscard]] RowObservation observe_row(const Json& row, const Tables& tables, int number);

// As often as the row says.
[[nodiscard]] std::vector<RowObservation> observe_all_plays(const Json& row, const Tables& tables);

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_ROW_OBSERVATION_HPP_
