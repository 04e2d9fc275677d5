// The scalar values of the CUE subset.
#ifndef DISPATCHER_CUE_SCALAR_HPP_
#define DISPATCHER_CUE_SCALAR_HPP_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace dispatcher::cue {

/// The value `null`.
struct Null {
  auto operator<=>(const Null&) const = default;
};

/// A value that is not composed of other values. Integers and floating-point numbers are of different kinds:
/// 1 and 1.0 are unequal.
using Scalar = std::variant<Null, bool, std::int64_t, double, std::string>;

/// Returns the order of two strings, or of two numbers by their value regardless of their kinds. Other
/// scalars are equivalent if they are equal and unordered otherwise.
[[nodiscard]] std::partial_ordering compare(const Scalar& left, const Scalar& right);

/// Returns the scalar as error messages show it. A long string is truncated.
[[nodiscard]] std::string describe(const Scalar& scalar);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_SCALAR_HPP_
