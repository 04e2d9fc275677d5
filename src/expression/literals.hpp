// The values of number and string literals, as CEL defines them (https://github.com/google/cel-spec, "Lexical
// Elements").
#ifndef DISPATCHER_EXPRESSION_LITERALS_HPP_
#define DISPATCHER_EXPRESSION_LITERALS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dispatcher::expression {

// A literal and the byte of the expression's text where it begins.
struct Token {
  std::string_view text;
  std::size_t at = 0;
};

enum class Sign { kPositive, kNegative };

// The value of decimal or 0x digits, negated for kNegative: only so can the least integer be written. Throws
// Errors where it does not fit into 64 bits.
[[nodiscard]] std::int64_t parse_integer(const Token& digits, Sign sign);

// Throws Errors where the value is not finite.
[[nodiscard]] double parse_double(const Token& number);

// What stands between the quotes of a string literal, with its escapes replaced. `at`: of the first character
// between the quotes. Throws Errors at an escape that is not known.
[[nodiscard]] std::string unescape(const Token& content);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_LITERALS_HPP_
