#include "expression/literals.hpp"

#include <charconv>
#include <cmath>
#include <optional>

#include "cue/utf8.hpp"
#include "expression/errors.hpp"

namespace dispatcher::expression {

namespace {

constexpr int kOctal = 8;
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

// The form of a numeric escape, after its backslash.
struct NumericEscape {
  std::size_t prefix_length = 0;  // 1 if a letter selects the form, otherwise 0
  std::size_t digits = 0;
  int base = kHexadecimal;
};

std::optional<NumericEscape> numeric_escape(char selector) {
  switch (selector) {
    case 'x':
    case 'X':
      return NumericEscape{1, 2, kHexadecimal};
    case 'u':
      return NumericEscape{1, 4, kHexadecimal};
    case 'U':
      return NumericEscape{1, 8, kHexadecimal};
    case '0':
    case '1':
    case '2':
    case '3':
      return NumericEscape{0, 3, kOctal};
    default:
      return std::nullopt;
  }
}

bool is_unicode_scalar(std::uint32_t code_point) {
  const bool is_surrogate = code_point >= 0xD800 && code_point <= 0xDFFF;
  return code_point <= 0x10FFFF && !is_surrogate;
}

// Returns nullopt if the text is not the required number of digits in this base, or if there is no such
// character.
std::optional<std::uint32_t> parse_code_point(std::string_view digits, const NumericEscape& escape) {
  if (digits.size() != escape.digits) return std::nullopt;
  std::uint32_t code_point = 0;
  const char* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, code_point, escape.base);
  if (parsed.ec != std::errc() || parsed.ptr != end || !is_unicode_scalar(code_point)) return std::nullopt;
  return code_point;
}

// Returns the character of an escape sequence of one letter, or nullopt if the letter has none.
std::optional<char> simple_escape(char letter) {
  constexpr std::string_view kLetters = "abfnrtv\\?\"'`";
  constexpr std::string_view kCharacters = "\a\b\f\n\r\t\v\\?\"'`";
  const std::size_t index = kLetters.find(letter);
  if (index == std::string_view::npos) return std::nullopt;
  return kCharacters[index];
}

// Appends the character of the escape at the start of `text`, whose backslash has been removed. Returns the
// length of the escape after its backslash, in bytes, or 0 if the escape is unknown.
std::size_t append_escape(std::string_view text, std::string& result) {
  if (const auto character = simple_escape(text.front())) {
    result += *character;
    return 1;
  }
  const auto escape = numeric_escape(text.front());
  if (!escape) return 0;
  const auto code_point = parse_code_point(text.substr(escape->prefix_length, escape->digits), *escape);
  if (!code_point) return 0;
  cue::encode_utf8(result, *code_point);
  return escape->prefix_length + escape->digits;
}

}  // namespace

std::int64_t parse_integer(const Token& digits, Sign sign) {
  const bool is_hexadecimal = digits.text.starts_with("0x");
  const std::string_view number = digits.text.substr(is_hexadecimal ? 2 : 0);
  std::uint64_t magnitude = 0;
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), magnitude,
                                            is_hexadecimal ? kHexadecimal : kDecimal);
  const bool is_negative = sign == Sign::kNegative;
  const std::uint64_t max_magnitude = static_cast<std::uint64_t>(INT64_MAX) + (is_negative ? 1 : 0);
  if (error != std::errc() || magnitude > max_magnitude)
    fail(digits.at, "the number does not fit into 64 bits");
  return static_cast<std::int64_t>(is_negative ? 0 - magnitude : magnitude);
}

double parse_double(const Token& number) {
  double value = 0;
  const auto [end, error] =
      std::from_chars(number.text.data(), number.text.data() + number.text.size(), value);
  if (error != std::errc() || !std::isfinite(value)) fail(number.at, "the number is out of range");
  return value;
}

std::string unescape(const Token& content) {
  std::string result;
  for (std::size_t i = 0; i < content.text.size();) {
    if (content.text[i] != '\\') {
      result += content.text[i++];
      continue;
    }
    // The grammar ensures that a character follows each backslash.
    const std::size_t length = append_escape(content.text.substr(i + 1), result);
    if (length == 0) fail(content.at + i, "unknown escape sequence in the string");
    i += 1 + length;
  }
  return result;
}

}  // namespace dispatcher::expression
