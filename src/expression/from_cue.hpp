// Expressions as fields of configuration records.
#ifndef DISPATCHER_EXPRESSION_FROM_CUE_HPP_
#define DISPATCHER_EXPRESSION_FROM_CUE_HPP_

#include <optional>
#include <vector>

#include "cue/data.hpp"
#include "expression/program.hpp"

namespace dispatcher::expression {

// Compiles the text of `field`, whose result must be of kind `expected`. nullopt where the record lacks the
// field, or where it does not compile; all problems are then appended to `problems`, at the field's position
// in the file.
[[nodiscard]] std::optional<Program> compile(const cue::Data& field, const Environment& fields, Kind expected,
                                             std::vector<cue::Problem>& problems);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_FROM_CUE_HPP_
