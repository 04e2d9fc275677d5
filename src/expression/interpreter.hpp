// Runs compiled expressions.
#ifndef DISPATCHER_EXPRESSION_INTERPRETER_HPP_
#define DISPATCHER_EXPRESSION_INTERPRETER_HPP_

#include <cstddef>
#include <span>
#include <vector>

#include "expression/bytecode.hpp"
#include "expression/value.hpp"

namespace dispatcher::expression {

// The working memory of evaluations. One scratch serves any number of programs, one after another, on one
// thread. Strings that a program created in it are valid until the next program runs.
class Scratch {
 public:
  // Makes room for a stack of `values` values and for `text` bytes of strings. Never shrinks.
  void reserve(std::size_t values, std::size_t text) {
    if (stack_.size() < values) stack_.resize(values);
    if (text_.size() < text) text_.resize(text);
  }

  [[nodiscard]] Value* stack() { return stack_.data(); }
  [[nodiscard]] char* text() { return text_.data(); }

 private:
  std::vector<Value> stack_;
  std::vector<char> text_;
};

// Evaluates the code for one set of fields. `fields` holds their values in the order of the environment, with
// an error in place of an absent one. `scratch` must have room for the code's stack and text. Allocates no
// memory.
[[nodiscard]] Value interpret(const Bytecode& code, std::span<const Value> fields, Scratch& scratch) noexcept;

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_INTERPRETER_HPP_
