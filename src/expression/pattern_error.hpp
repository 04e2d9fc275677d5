// The error of a pattern that cannot be used.
#ifndef DISPATCHER_EXPRESSION_PATTERN_ERROR_HPP_
#define DISPATCHER_EXPRESSION_PATTERN_ERROR_HPP_

#include <stdexcept>

namespace dispatcher::expression {

// Thrown if a pattern is rejected because RE2 does not accept it, because it uses a feature that is not
// supported, or because its automaton would be too large. what() is shown to operators unchanged.
struct PatternError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_PATTERN_ERROR_HPP_
