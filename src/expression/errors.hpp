// The problems of an expression, and the exception that carries them.
#ifndef DISPATCHER_EXPRESSION_ERRORS_HPP_
#define DISPATCHER_EXPRESSION_ERRORS_HPP_

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

namespace dispatcher::expression {

// One error in an expression.
struct Problem {
  std::size_t at = 0;  // offset in the expression's text, in bytes from 0
  std::string what;
};

// Thrown if an expression is rejected, with all problems that were found. what() joins them into one line, in
// which offsets count from 1.
struct Errors : std::runtime_error {
  explicit Errors(std::vector<Problem> all);
  std::vector<Problem> problems;  // at least one
};

// Throws Errors with one problem.
[[noreturn]] void fail(std::size_t at, std::string what);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_ERRORS_HPP_
