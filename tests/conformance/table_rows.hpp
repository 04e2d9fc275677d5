// The tables: rows that each stand for one sentence of the design, and how a row is played.
#ifndef DISPATCHER_TESTS_CONFORMANCE_TABLE_ROWS_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_TABLE_ROWS_HPP_

#include <map>
#include <string>
#include <vector>

#include "table_runner.hpp"

namespace dispatcher::routing::conformance {

struct Tables {
  Json base;        // settings
  Json sentences;   // key: what the design says, or why no row stands for it
  Json deviations;  // key: what the module does instead, and why; `bounds`: the figures
  std::map<std::string, std::vector<Json>> topics;
  Bounds bounds;
};

// Throws std::runtime_error that names file and field.
Tables load_tables(const std::string& folder);

// What does not hold; empty: the row holds.
std::vector<std::string> play(const Json& row, const Tables& tables);

// The same row with an expectation that is false if the row holds.
std::vector<Json> told_wrongly(const Json& row, const Tables& tables);

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_TABLE_ROWS_HPP_
