// The values of string and number literals.
#ifndef DISPATCHER_CUE_LITERALS_HPP_
#define DISPATCHER_CUE_LITERALS_HPP_

#include <cstdint>
#include <string>
#include <string_view>

namespace dispatcher::cue {

/// The sign before a number literal.
enum class Sign { kPositive, kNegative };

/// The integer of a decimal literal, which may have a multiplier such as `Ki`, or of a hexadecimal one.
/// `source` must match the grammar. Throws SyntaxError where it does not fit into 64 bits or has a leading 0.
[[nodiscard]] std::int64_t parse_integer(std::string_view source, Sign sign);

/// The number of a floating-point literal. `source` must match the grammar. Throws SyntaxError where it is
/// out of range.
[[nodiscard]] double parse_float(std::string_view source);

/// Replaces the escape sequences of a string literal's content. Throws SyntaxError where one is invalid.
[[nodiscard]] std::string unescape(std::string_view content);

/// Joins the lines between the quotes of a multiline literal: the line of the opening quotes must be empty,
/// and the white space before the closing quotes is removed from each line. Throws SyntaxError where the
/// lines do not have that form.
[[nodiscard]] std::string dedent(std::string_view content);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_LITERALS_HPP_
