// The operators of bounds, such as `>=10`.
#ifndef DISPATCHER_CUE_BOUND_OPERATOR_HPP_
#define DISPATCHER_CUE_BOUND_OPERATOR_HPP_

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace dispatcher::cue {

/// The operator of a bound.
enum class BoundOperator { kNotEqual, kLess, kLessEqual, kGreater, kGreaterEqual, kMatch, kNotMatch };

/// An operator and its notation in a file.
struct BoundOperatorNotation {
  BoundOperator bound_operator;
  std::string_view text;
};
inline constexpr std::array<BoundOperatorNotation, 7> kBoundOperators = {
    {{BoundOperator::kNotEqual, "!="},
     {BoundOperator::kLess, "<"},
     {BoundOperator::kLessEqual, "<="},
     {BoundOperator::kGreater, ">"},
     {BoundOperator::kGreaterEqual, ">="},
     {BoundOperator::kMatch, "=~"},
     {BoundOperator::kNotMatch, "!~"}}};

/// Returns whether the operator compares with a regular expression.
[[nodiscard]] inline bool is_match(BoundOperator bound_operator) {
  return bound_operator == BoundOperator::kMatch || bound_operator == BoundOperator::kNotMatch;
}

/// Returns the notation of the operator in a file.
[[nodiscard]] inline std::string_view to_text(BoundOperator bound_operator) {
  const auto it = std::find_if(kBoundOperators.begin(), kBoundOperators.end(), [&](const auto& notation) {
    return notation.bound_operator == bound_operator;
  });
  return it == kBoundOperators.end() ? std::string_view() : it->text;
}

/// Returns the operator written as `text`, or nullopt if `text` is not an operator.
[[nodiscard]] inline std::optional<BoundOperator> parse_bound_operator(std::string_view text) {
  const auto it = std::find_if(kBoundOperators.begin(), kBoundOperators.end(),
                               [&](const auto& notation) { return notation.text == text; });
  if (it == kBoundOperators.end()) return std::nullopt;
  return it->bound_operator;
}

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_BOUND_OPERATOR_HPP_
