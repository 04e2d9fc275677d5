// Loads the tables, whose rows each stand for one sentence of the design. docs/conformance.md describes their
// fields.
#ifndef DISPATCHER_TESTS_CONFORMANCE_TABLES_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_TABLES_HPP_

#include <map>
#include <string>
#include <vector>

#include "reference_scorer.hpp"
#include "table_fields.hpp"

namespace dispatcher::routing::conformance {

// The contents of all table files.
struct Tables {
  Json base;        // settings
  Json sentences;   // by key: what the design says, and why no row stands for it if there is none
  Json deviations;  // by key: what the module does instead, and why
  Bounds bounds;    // the numeric parameters of the deviations
  std::map<std::string, std::vector<Json>> topics;
};

// Loads all tables in a folder. Throws std::runtime_error that names the file and the field.
[[nodiscard]] Tables load_tables(const std::string& folder);

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_TABLES_HPP_
