// The types of the operands that the operators and functions of the language take, and of their results. As
// in CEL, there are no implicit conversions.
#ifndef DISPATCHER_EXPRESSION_TYPE_RULES_HPP_
#define DISPATCHER_EXPRESSION_TYPE_RULES_HPP_

#include <array>
#include <string>
#include <string_view>

#include "expression/ast.hpp"
#include "expression/value.hpp"

namespace dispatcher::expression {

// All functions and macros, for suggestions if a name is unknown.
inline constexpr std::array<std::string_view, 11> kFunctionNames = {
    "has",    "size", "matches", "startsWith", "endsWith", "contains",
    "exists", "all",  "int",     "double",     "string"};

[[nodiscard]] bool is_scalar(Kind kind);
[[nodiscard]] bool is_number(Kind kind);

// Returns the type of an operator's result, given the types of its children. The kind is kError if the
// operator does not take them.
[[nodiscard]] Type operator_type(const Node& node);

// Returns whether `call` names a function, not a macro, that may be called in this form: as a method or not.
[[nodiscard]] bool is_known_function(const Node& call);

// Returns the kind of a known function's result, given the types of its children, or kError if the function
// does not take them.
[[nodiscard]] Kind function_result(const Node& call);

// Returns the types of the children, joined by `separator`, for messages.
[[nodiscard]] std::string operand_types(const Node& node, std::string_view separator);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_TYPE_RULES_HPP_
