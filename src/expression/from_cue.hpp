// Expressions as fields of configuration records.
#ifndef DISPATCHER_EXPRESSION_FROM_CUE_HPP_
#define DISPATCHER_EXPRESSION_FROM_CUE_HPP_

#include <optional>
#include <vector>

#include "cue/data.hpp"
#include "expression/program.hpp"

namespace dispatcher::expression {

// Compiles the text of `field`. nullopt: the record lacks it, or it is wrong; then `problems` has got all
// that is wrong, at the field's place in the file.
[[nodiscard]] std::optional<Program> compile(const cue::Data& field, const Environment& fields, Kind wanted,
                                             std::vector<cue::Problem>& problems);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_FROM_CUE_HPP_
