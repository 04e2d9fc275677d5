// Compiled expressions.
#ifndef DISPATCHER_EXPRESSION_PROGRAM_HPP_
#define DISPATCHER_EXPRESSION_PROGRAM_HPP_

#include <cstddef>
#include <span>
#include <string_view>

#include "expression/ast.hpp"
#include "expression/bytecode.hpp"
#include "expression/errors.hpp"
#include "expression/interpreter.hpp"
#include "expression/value.hpp"

namespace dispatcher::expression {

// An expression that has been parsed, checked and compiled for one environment. Immutable, so that threads
// may share it, each with its own Scratch. A default-constructed one must not be run.
class Program {
 public:
  // Compiles an expression whose result must be of kind `expected`. Throws Errors with all problems,
  // including a pattern that is too large, or strings created by an evaluation that may grow too large.
  static Program compile(std::string_view text, const Environment& fields, Kind expected);

  // Returns the expression's value. `fields` holds the fields' values in the environment's order, with an
  // error in place of one that is absent. `scratch` must have been reserved for max_values() and max_text().
  // Allocates no memory and throws no exceptions.
  [[nodiscard]] Value run(std::span<const Value> fields, Scratch& scratch) const noexcept {
    return interpret(code_, fields, scratch);
  }

  // Returns an upper bound on the time that run() takes, in ns, computed from the lengths of the fields
  // (docs/design/matching.md).
  [[nodiscard]] double worst_ns() const { return worst_ns_; }

  // The size that the scratch must have: the number of values on its stack, and the bytes of strings.
  [[nodiscard]] std::size_t max_values() const { return code_.max_stack; }
  [[nodiscard]] std::size_t max_text() const { return code_.max_text; }

  // Returns the maximum length of the result, in bytes, if it is a string.
  [[nodiscard]] std::size_t max_length() const { return max_length_; }

  // Returns the memory that the program takes, without its tree, in bytes.
  [[nodiscard]] std::size_t bytes() const;

  // Returns the expression's tree as the type checker returned it.
  [[nodiscard]] const Node& tree() const { return tree_; }

  // Returns the number of instructions.
  [[nodiscard]] std::size_t size() const { return code_.instructions.size(); }

 private:
  Node tree_;
  Bytecode code_;
  std::size_t max_length_ = 0;
  double worst_ns_ = 0;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_PROGRAM_HPP_
