// Expressions as fields of configuration records.
#ifndef DISPATCHER_EXPRESSION_FROM_CUE_HPP_
#define DISPATCHER_EXPRESSION_FROM_CUE_HPP_

#include <optional>
#include <vector>

#include "cue/data.hpp"
#include "expression/program.hpp"

namespace dispatcher::expression {

// Compiles the expression in `field`, whose result must be of kind `expected`. Returns nullopt if the record
// lacks the field or if the expression does not compile; in the latter case all problems are appended to
// `problems`, at the field's position in the file.
[[nodiscard]] std::optional<Program> compile(const cue::Data& field, const Environment& fields, Kind expected,
                                             std::vector<cue::Problem>& problems);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_FROM_CUE_HPP_
