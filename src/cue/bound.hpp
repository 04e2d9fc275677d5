// Bounds on scalars, such as `>=10` or `=~"^a"`.
#ifndef DISPATCHER_CUE_BOUND_HPP_
#define DISPATCHER_CUE_BOUND_HPP_

#include <memory>

#include "cue/bound_operator.hpp"
#include "cue/scalar.hpp"

namespace re2 {
class RE2;
}

namespace dispatcher::cue {

/// A constraint on a scalar.
struct Bound {
  BoundOperator bound_operator;
  Scalar operand;
  std::shared_ptr<const re2::RE2> regex;  // compiled operand of kMatch or kNotMatch; otherwise null
};

/// Returns whether the scalar satisfies the bound. A scalar that cannot be ordered relative to the operand
/// satisfies only `!=`.
[[nodiscard]] bool satisfies(const Scalar& scalar, const Bound& bound);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_BOUND_HPP_
