// Expressions as fields of a record.
#ifndef DISPATCHER_EXPRESSION_FROM_CUE_HPP_
#define DISPATCHER_EXPRESSION_FROM_CUE_HPP_

#include <optional>
#include <vector>

#include "cue/data.hpp"
#include "expression/program.hpp"

namespace dispatcher::expression {

// The text of the field, compiled. None where the record lacks it, or where it is bad: `problems` then tells
// all that is wrong, at the field's place.
std::optional<Program> compile(const cue::Data& field, const Environment& fields, Kind wanted,
                               std::vector<cue::Problem>& problems);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_FROM_CUE_HPP_
