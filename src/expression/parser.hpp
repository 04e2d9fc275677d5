// Parses expressions. Neither types nor fields are known yet.
#ifndef DISPATCHER_EXPRESSION_PARSER_HPP_
#define DISPATCHER_EXPRESSION_PARSER_HPP_

#include <cstddef>
#include <string_view>

#include "expression/ast.hpp"
#include "expression/errors.hpp"

namespace dispatcher::expression {

inline constexpr std::size_t kMaxExpressionBytes = std::size_t{16} * 1024;  // bounds the parser's work
inline constexpr int kMaxDepth = 64;  // of the syntax tree: bounds the recursion

// The syntax tree of `text`, which it does not refer to. Throws Errors with the first problem. Work and stack
// are bounded by kMaxExpressionBytes and kMaxDepth.
[[nodiscard]] Node parse(std::string_view text);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_PARSER_HPP_
