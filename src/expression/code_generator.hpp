// Generates the bytecode of an expression and computes its worst-case cost.
#ifndef DISPATCHER_EXPRESSION_CODE_GENERATOR_HPP_
#define DISPATCHER_EXPRESSION_CODE_GENERATOR_HPP_

#include <cstddef>

#include "expression/ast.hpp"
#include "expression/bytecode.hpp"
#include "expression/errors.hpp"

namespace dispatcher::expression {

// The maximum total size of the strings that one evaluation may create, in bytes. Bounds the memory of a
// Scratch.
inline constexpr std::size_t kMaxTextBytes = std::size_t{64} * 1024;

// A compiled expression without its tree.
struct GeneratedCode {
  Bytecode bytecode;
  std::size_t max_length = 0;  // maximum length of the result, in bytes; 0 if it is not a string
  double worst_ns = 0;         // the worst-case time of one evaluation, in ns
};

// Generates the code of `tree`, which must be the result of the type checker for the same fields. Throws
// Errors if a pattern cannot be used, or if an evaluation could create more than kMaxTextBytes of strings.
[[nodiscard]] GeneratedCode generate_code(const Node& tree, const Environment& fields);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_CODE_GENERATOR_HPP_
