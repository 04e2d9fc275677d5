// Formats the errors of malformed messages.
#include "json/parse_error.hpp"

#include <utility>

namespace dispatcher::json {

std::string describe(ParseProblem problem, const std::string& field, const std::string& detail) {
  const std::string quoted_field = "field '" + field + "'";
  switch (problem) {
    case ParseProblem::kInvalidDocument:
      return detail;
    case ParseProblem::kMissingField:
      return quoted_field + " is missing";
    case ParseProblem::kUnexpectedValue:
      return quoted_field + ": " + detail + " expected";
    case ParseProblem::kWrongType:
      return quoted_field + " has the wrong type";
    case ParseProblem::kInvalidValue:
      return quoted_field + ": " + detail;
  }
  return detail;
}

ParseError::ParseError(ParseProblem problem, std::string field, const std::string& detail)
    : std::runtime_error(describe(problem, field, detail)), problem_(problem), field_(std::move(field)) {}

}  // namespace dispatcher::json
