#include "cue/bound.hpp"

#include <re2/re2.h>

#include <compare>

namespace dispatcher::cue {

namespace {

bool is_string_with_match(const Scalar& scalar, const re2::RE2& regex, bool expected) {
  const auto* text = std::get_if<std::string>(&scalar);
  return text != nullptr && re2::RE2::PartialMatch(*text, regex) == expected;
}

}  // namespace

bool satisfies(const Scalar& scalar, const Bound& bound) {
  switch (bound.bound_operator) {
    case BoundOperator::kMatch:
      return is_string_with_match(scalar, *bound.regex, true);
    case BoundOperator::kNotMatch:
      return is_string_with_match(scalar, *bound.regex, false);
    case BoundOperator::kNotEqual:
      return std::is_neq(compare(scalar, bound.operand));
    case BoundOperator::kLess:
      return std::is_lt(compare(scalar, bound.operand));
    case BoundOperator::kLessEqual:
      return std::is_lteq(compare(scalar, bound.operand));
    case BoundOperator::kGreater:
      return std::is_gt(compare(scalar, bound.operand));
    case BoundOperator::kGreaterEqual:
      return std::is_gteq(compare(scalar, bound.operand));
  }
  return false;
}

}  // namespace dispatcher::cue
