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
  // `expected`: the kind that the result must have. Throws Errors with all problems, also where a pattern or
  // the strings that an evaluation makes grow too large.
  static Program compile(std::string_view text, const Environment& fields, Kind expected);

  // The expression's value. `fields`: the values in the environment's order, an error in place of one that is
  // absent. `scratch` must have been reserved for max_values() and max_text(). Allocates and throws nothing.
  [[nodiscard]] Value run(std::span<const Value> fields, Scratch& scratch) const noexcept {
    return interpret(code_, fields, scratch);
  }

  // A bound on the time that run() takes, in ns, computed from the lengths of the fields
  // (docs/design/matching.md).
  [[nodiscard]] double worst_ns() const { return worst_ns_; }

  // What the scratch must have room for: values on its stack, and bytes of strings.
  [[nodiscard]] std::size_t max_values() const { return code_.max_stack; }
  [[nodiscard]] std::size_t max_text() const { return code_.max_text; }

  // How long the result is at most, in bytes, where it is a string.
  [[nodiscard]] std::size_t max_length() const { return max_length_; }

  // The memory that it takes, without its tree, in bytes.
  [[nodiscard]] std::size_t bytes() const;

  // The expression as it was checked.
  [[nodiscard]] const Node& tree() const { return tree_; }

  // The number of instructions.
  [[nodiscard]] std::size_t size() const { return code_.instructions.size(); }

 private:
  Node tree_;
  Bytecode code_;
  std::size_t max_length_ = 0;
  double worst_ns_ = 0;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_PROGRAM_HPP_
