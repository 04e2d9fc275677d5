// The tables: rows that each stand for one sentence of the design. docs/conformance.md describes their
// fields.
#ifndef DISPATCHER_TESTS_CONFORMANCE_TABLES_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_TABLES_HPP_

#include <map>
#include <string>
#include <vector>

#include "reference_scorer.hpp"
#include "table_fields.hpp"

namespace dispatcher::routing::conformance {

struct Tables {
  Json base;        // settings
  Json sentences;   // key: what the design says, or why no row stands for it
  Json deviations;  // key: what the module does instead, and why
  Bounds bounds;    // the figures of the deviations
  std::map<std::string, std::vector<Json>> topics;
};

// Throws std::runtime_error that names file and field.
[[nodiscard]] Tables load_tables(const std::string& folder);

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_TABLES_HPP_
