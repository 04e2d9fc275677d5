// Integer and floating-point literals.
#include <cctype>
#include <charconv>
#include <cmath>
#include <limits>
#include <system_error>

#include "cue/literals.hpp"
#include "cue/syntax_error.hpp"

namespace dispatcher::cue {

namespace {

constexpr std::string_view kHexadecimalPrefix = "0x";

std::string without_underscores(std::string_view source) {
  std::string digits(source);
  std::erase(digits, '_');
  return digits;
}

bool has_leading_zero(std::string_view digits) {
  return digits.size() > 1 && digits[0] == '0' && std::isdigit(static_cast<unsigned char>(digits[1])) != 0;
}

// Multiplies `value` by the factor of `multiplier` (K, Mi, ...; 1 if empty). Returns false on overflow.
bool apply_multiplier(std::string_view multiplier, std::uint64_t& value) {
  if (multiplier.empty()) return true;
  constexpr std::string_view kLetters = "KMGT";  // the letter at index i stands for base^(i + 1)
  const std::uint64_t base = multiplier.ends_with('i') ? 1024 : 1000;
  const std::size_t power = kLetters.find(multiplier.front()) + 1;
  for (std::size_t i = 0; i < power; ++i) {
    if (__builtin_mul_overflow(value, base, &value)) return false;
  }
  return true;
}

// Parses the magnitude of an integer literal without underscores. Returns false if it does not fit into 64
// bits.
bool parse_magnitude(std::string_view digits, std::uint64_t& value) {
  const bool is_hexadecimal = digits.starts_with(kHexadecimalPrefix);
  if (is_hexadecimal) digits.remove_prefix(kHexadecimalPrefix.size());
  const char* const end = digits.data() + digits.size();
  const auto [parsed_end, error] = std::from_chars(digits.data(), end, value, is_hexadecimal ? 16 : 10);
  if (error != std::errc()) return false;
  return apply_multiplier({parsed_end, static_cast<std::size_t>(end - parsed_end)}, value);
}

}  // namespace

std::int64_t parse_integer(std::string_view source, Sign sign) {
  const std::string digits = without_underscores(source);
  if (has_leading_zero(digits)) throw SyntaxError{source.data(), "a number may not begin with 0"};
  const bool is_negative = sign == Sign::kNegative;
  // Two's complement has one more negative number.
  const std::uint64_t maximum =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()) + (is_negative ? 1 : 0);
  std::uint64_t value = 0;
  if (!parse_magnitude(digits, value) || value > maximum)
    throw SyntaxError{source.data(), "the number does not fit into 64 bits"};
  return static_cast<std::int64_t>(is_negative ? 0 - value : value);
}

double parse_float(std::string_view source) {
  const std::string digits = without_underscores(source);
  const char* const end = digits.data() + digits.size();
  double value = 0;
  const auto [parsed_end, error] = std::from_chars(digits.data(), end, value);
  if (error != std::errc() || parsed_end != end || !std::isfinite(value))
    throw SyntaxError{source.data(), "the number is out of range"};
  return value;
}

}  // namespace dispatcher::cue
