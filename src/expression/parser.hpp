// Parses expressions. The parser checks neither types nor the names of fields.
#ifndef DISPATCHER_EXPRESSION_PARSER_HPP_
#define DISPATCHER_EXPRESSION_PARSER_HPP_

#include <cstddef>
#include <string_view>

#include "expression/ast.hpp"
#include "expression/errors.hpp"

namespace dispatcher::expression {

inline constexpr std::size_t kMaxExpressionBytes = std::size_t{16} * 1024;  // bounds the parser's work
inline constexpr int kMaxDepth = 64;  // maximum depth of the syntax tree; bounds the recursion

// Returns the syntax tree of `text`. The tree holds no references to `text`. Throws Errors with the first
// problem. Work and stack are bounded by kMaxExpressionBytes and kMaxDepth.
[[nodiscard]] Node parse(std::string_view text);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_PARSER_HPP_
