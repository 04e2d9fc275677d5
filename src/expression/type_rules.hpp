// Which operands the operators and functions of the language take, and the types of their results. Nothing is
// converted implicitly, as in CEL.
#ifndef DISPATCHER_EXPRESSION_TYPE_RULES_HPP_
#define DISPATCHER_EXPRESSION_TYPE_RULES_HPP_

#include <array>
#include <string>
#include <string_view>

#include "expression/ast.hpp"
#include "expression/value.hpp"

namespace dispatcher::expression {

// All functions and macros, for hints about one that is not known.
inline constexpr std::array<std::string_view, 11> kFunctionNames = {
    "has",    "size", "matches", "startsWith", "endsWith", "contains",
    "exists", "all",  "int",     "double",     "string"};

[[nodiscard]] bool is_scalar(Kind kind);
[[nodiscard]] bool is_number(Kind kind);

// The type of an operator's result, by the types of its children. kError: it does not take them.
[[nodiscard]] Type operator_type(const Node& node);

// Whether a call is of a function, macros excluded, that may be called in this way: as a method or not.
[[nodiscard]] bool is_known_function(const Node& call);

// The kind of the result of a known function, by the types of its children. kError: it does not take them.
[[nodiscard]] Kind function_result(const Node& call);

// The types of the children, for messages.
[[nodiscard]] std::string operand_types(const Node& node, std::string_view separator);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_TYPE_RULES_HPP_
