// Messages of header errors.
#include "platform_api/header_error.hpp"

namespace dispatcher::platform_api {

namespace {

std::string_view problem_text(HeaderProblem problem) {
  switch (problem) {
    case HeaderProblem::kNotAlphanumeric:
      return "letters and digits expected";
    case HeaderProblem::kUnknownClass:
      return "unknown class";
    case HeaderProblem::kNotANumber:
      return "not a number";
    case HeaderProblem::kOutOfRange:
      return "out of range";
    case HeaderProblem::kIdInProgress:
      return "already in progress";
  }
  return {};
}

}  // namespace

std::string describe(HeaderProblem problem, std::string_view header) {
  std::string text(header);
  text += ": ";
  text += problem_text(problem);
  return text;
}

}  // namespace dispatcher::platform_api
