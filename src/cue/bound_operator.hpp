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

/// An operator and how a file writes it.
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

/// Whether the operator compares with a regular expression.
[[nodiscard]] inline bool is_match(BoundOperator bound_operator) {
  return bound_operator == BoundOperator::kMatch || bound_operator == BoundOperator::kNotMatch;
}

/// How a file writes the operator.
[[nodiscard]] inline std::string_view to_text(BoundOperator bound_operator) {
  const auto it = std::find_if(kBoundOperators.begin(), kBoundOperators.end(), [&](const auto& notation) {
    return notation.bound_operator == bound_operator;
  });
  return it == kBoundOperators.end() ? std::string_view() : it->text;
}

/// The operator written as `text`; nullopt where it is none.
[[nodiscard]] inline std::optional<BoundOperator> parse_bound_operator(std::string_view text) {
  const auto it = std::find_if(kBoundOperators.begin(), kBoundOperators.end(),
                               [&](const auto& notation) { return notation.text == text; });
  if (it == kBoundOperators.end()) return std::nullopt;
  return it->bound_operator;
}

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_BOUND_OPERATOR_HPP_
