// Checks the types of an expression against the declared fields, and expands its macros.
#ifndef DISPATCHER_EXPRESSION_TYPE_CHECKER_HPP_
#define DISPATCHER_EXPRESSION_TYPE_CHECKER_HPP_

#include <cstddef>
#include <string_view>

#include "expression/ast.hpp"
#include "expression/errors.hpp"
#include "expression/value.hpp"

namespace dispatcher::expression {

// The maximum number of nodes of one expression after its macros are expanded. Bounds the time and memory
// that compiling it takes.
inline constexpr std::size_t kMaxNodes = 20'000;

// Parses and checks an expression whose result must be of kind `expected`. Each node of the returned tree has
// its type, and no names, selections, macros or computed lists are left in it. Throws Errors with all
// problems.
[[nodiscard]] Node check(std::string_view text, const Environment& fields, Kind expected);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_TYPE_CHECKER_HPP_
