// The values of string and number literals.
#ifndef DISPATCHER_CUE_LITERALS_HPP_
#define DISPATCHER_CUE_LITERALS_HPP_

#include <cstdint>
#include <string>
#include <string_view>

namespace dispatcher::cue {

/// The sign before a number literal.
enum class Sign { kPositive, kNegative };

/// Returns the value of a hexadecimal integer literal, or of a decimal one, which may have a multiplier such
/// as `Ki`. `source` must match the grammar. Throws SyntaxError if the value does not fit into 64 bits or the
/// literal has a leading 0.
[[nodiscard]] std::int64_t parse_integer(std::string_view source, Sign sign);

/// Returns the value of a floating-point literal. `source` must match the grammar. Throws SyntaxError if the
/// value is out of range.
[[nodiscard]] double parse_float(std::string_view source);

/// Replaces the escape sequences of a string literal's content. Throws SyntaxError if one is invalid.
[[nodiscard]] std::string unescape(std::string_view content);

/// Joins the lines between the quotes of a multiline literal. Nothing may follow the opening quotes on their
/// line, and the white space before the closing quotes is removed from each line. Throws SyntaxError if the
/// lines do not have that form.
[[nodiscard]] std::string dedent(std::string_view content);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_LITERALS_HPP_
