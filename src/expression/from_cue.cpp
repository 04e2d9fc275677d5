#include "expression/from_cue.hpp"

#include <string>

#include "cue/schema.hpp"

namespace dispatcher::expression {

std::optional<Program> compile(const cue::Data& field, const Environment& fields, Kind expected,
                               std::vector<cue::Problem>& problems) {
  if (field.is_null()) return std::nullopt;
  try {
    return Program::compile(field.text(), fields, expected);
  } catch (const Errors& errors) {
    for (const Problem& problem : errors.problems) {
      problems.push_back(cue::problem(
          field, "in the expression, at " + std::to_string(problem.at + 1) + ": " + problem.what));
    }
  }
  return std::nullopt;
}

}  // namespace dispatcher::expression
