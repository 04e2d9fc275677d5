// Judges a row of the tables: its figures, what follows from them, and what the router does.
#ifndef DISPATCHER_TESTS_CONFORMANCE_ROW_CHECK_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_ROW_CHECK_HPP_

#include <string>
#include <vector>

#include "tables.hpp"

namespace dispatcher::routing::conformance {

using Failures = std::vector<std::string>;

// What does not hold, also that the row is malformed; empty: the row holds.
[[nodiscard]] Failures check_row(const Json& row, const Tables& tables);

// The same row with expectations that are false if the row holds, one in each.
[[nodiscard]] std::vector<Json> falsified_rows(const Json& row, const Tables& tables);

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_ROW_CHECK_HPP_
