// Checks a row of the tables: its figures, what follows from them, and what the router does.
#ifndef DISPATCHER_TESTS_CONFORMANCE_ROW_CHECK_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_ROW_CHECK_HPP_

#include <string>
#include <vector>

#include "tables.hpp"

namespace dispatcher::routing::conformance {

using Failures = std::vector<std::string>;

// Returns what does not hold, including that the row is malformed; empty if the row holds.
[[nodiscard]] Failures check_row(const Json& row, const Tables& tables);

// Returns copies of the row, each with one expectation or figure that is false if the row holds.
[[nodiscard]] std::vector<Json> falsified_rows(const Json& row, const Tables& tables);

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_ROW_CHECK_HPP_
