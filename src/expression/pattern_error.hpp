// The error of a pattern that cannot be used.
#ifndef DISPATCHER_EXPRESSION_PATTERN_ERROR_HPP_
#define DISPATCHER_EXPRESSION_PATTERN_ERROR_HPP_

#include <stdexcept>

namespace dispatcher::expression {

// Why a pattern is rejected: RE2 does not accept it, it uses a feature that is not supported, or its
// automaton would be too large. what() is shown to operators as it is.
struct PatternError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_PATTERN_ERROR_HPP_
