// Generates the bytecode of an expression and computes its worst-case cost.
#ifndef DISPATCHER_EXPRESSION_CODE_GENERATOR_HPP_
#define DISPATCHER_EXPRESSION_CODE_GENERATOR_HPP_

#include <cstddef>

#include "expression/ast.hpp"
#include "expression/bytecode.hpp"
#include "expression/errors.hpp"

namespace dispatcher::expression {

// Bytes of strings that one evaluation may create: bounds the memory of a Scratch.
inline constexpr std::size_t kMaxTextBytes = std::size_t{64} * 1024;

// A program without its tree.
struct GeneratedCode {
  Bytecode bytecode;
  std::size_t max_length = 0;  // of the result, in bytes; 0 where it is not a string
  double worst_ns = 0;         // the worst-case time of one evaluation, ns
};

// `tree`: as the type checker made it, for the same fields. Throws Errors where a pattern cannot be used, or
// where an evaluation could make more than kMaxTextBytes of strings.
[[nodiscard]] GeneratedCode generate_code(const Node& tree, const Environment& fields);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_CODE_GENERATOR_HPP_
