// Generates random well-typed expressions over expression_fields().
#ifndef DISPATCHER_TESTS_EXPRESSION_EXPRESSION_GENERATOR_HPP_
#define DISPATCHER_TESTS_EXPRESSION_EXPRESSION_GENERATOR_HPP_

#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "expression/value.hpp"

namespace dispatcher::testing {

// Generates the same expressions for the same seed.
class ExpressionGenerator {
 public:
  explicit ExpressionGenerator(unsigned seed) : random_(seed) {}

  // Returns an expression of a scalar kind, nested up to `depth`.
  std::string make(expression::Kind kind, int depth);

  // Returns a random number below `count`.
  std::size_t pick(std::size_t count) { return random_() % count; }

  // Returns a random scalar kind.
  expression::Kind pick_kind();

 private:
  std::string any(const std::vector<std::string>& choices) { return choices[pick(choices.size())]; }
  std::string make_leaf(expression::Kind kind);
  std::string make_conditional(expression::Kind kind, int depth);
  std::string make_bool(int depth);
  std::string make_int(int depth);
  std::string make_double(int depth);
  std::string make_string(int depth);

  std::mt19937 random_;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_EXPRESSION_EXPRESSION_GENERATOR_HPP_
