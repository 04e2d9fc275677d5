// The values of number and string literals, as CEL defines them (https://github.com/google/cel-spec, "Lexical
// Elements").
#ifndef DISPATCHER_EXPRESSION_LITERALS_HPP_
#define DISPATCHER_EXPRESSION_LITERALS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dispatcher::expression {

// A literal, and its offset in the expression's text in bytes.
struct Token {
  std::string_view text;
  std::size_t at = 0;
};

enum class Sign { kPositive, kNegative };

// The value of decimal or 0x digits, negated for kNegative: the smallest integer has no positive counterpart.
// Throws Errors where it does not fit into 64 bits.
[[nodiscard]] std::int64_t parse_integer(const Token& digits, Sign sign);

// Throws Errors where the value is not finite.
[[nodiscard]] double parse_double(const Token& number);

// The content of a string literal, which is the text between its quotes, with its escape sequences replaced.
// `content.at`: offset of the first character after the opening quote. Throws Errors at an unknown escape
// sequence.
[[nodiscard]] std::string unescape(const Token& content);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_LITERALS_HPP_
