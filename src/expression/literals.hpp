// The values of number and string literals, as CEL defines them (https://github.com/google/cel-spec, "Lexical
// Elements").
#ifndef DISPATCHER_EXPRESSION_LITERALS_HPP_
#define DISPATCHER_EXPRESSION_LITERALS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dispatcher::expression {

// A literal and its offset in the expression's text, in bytes.
struct Token {
  std::string_view text;
  std::size_t at = 0;
};

// The sign that precedes a number.
enum class Sign { kPositive, kNegative };

// Returns the value of decimal or 0x digits, negated for kNegative. The sign is a parameter because the
// smallest integer has no positive counterpart. Throws Errors if the value does not fit into 64 bits.
[[nodiscard]] std::int64_t parse_integer(const Token& digits, Sign sign);

// Returns the value of a number with a fraction or an exponent. Throws Errors if it is out of the range of a
// double.
[[nodiscard]] double parse_double(const Token& number);

// Returns the content of a string literal, which is the text between its quotes, with its escape sequences
// replaced. `content.at` is the offset of the first character after the opening quote. Throws Errors if an
// escape sequence is unknown.
[[nodiscard]] std::string unescape(const Token& content);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_LITERALS_HPP_
