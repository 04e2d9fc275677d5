// What is wrong with an expression.
#ifndef DISPATCHER_EXPRESSION_ERRORS_HPP_
#define DISPATCHER_EXPRESSION_ERRORS_HPP_

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

namespace dispatcher::expression {

// One thing that is wrong.
struct Problem {
  std::size_t at = 0;  // the byte of the expression's text, from 0
  std::string what;
};

// Thrown where an expression is rejected, with all that was found. what() has all of it as one text, in which
// places count from 1.
struct Errors : std::runtime_error {
  explicit Errors(std::vector<Problem> all);
  std::vector<Problem> problems;  // one at least
};

// Throws Errors with one problem.
[[noreturn]] void fail(std::size_t at, std::string what);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_ERRORS_HPP_
