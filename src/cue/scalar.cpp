#include "cue/scalar.hpp"

#include <array>
#include <charconv>
#include <optional>

#include "cue/utf8.hpp"

namespace dispatcher::cue {

namespace {

constexpr std::size_t kMaxDescribedBytes = 60;  // of a string in an error message

// long double represents each std::int64_t exactly on x86-64 and AArch64.
std::optional<long double> number_in(const Scalar& scalar) {
  if (const auto* integer = std::get_if<std::int64_t>(&scalar)) return static_cast<long double>(*integer);
  if (const auto* real = std::get_if<double>(&scalar)) return static_cast<long double>(*real);
  return std::nullopt;
}

std::string number_text(double number) {
  constexpr std::size_t kLongestNumber = 32;
  std::array<char, kLongestNumber> text{};
  const auto result = std::to_chars(text.data(), text.data() + text.size(), number);
  return {text.data(), result.ptr};
}

std::string quote(const std::string& text) {
  const std::string clipped = clip_utf8(text, kMaxDescribedBytes);
  const char* const ellipsis = clipped.size() < text.size() ? "..." : "";
  return "\"" + clipped + ellipsis + "\"";
}

}  // namespace

std::partial_ordering compare(const Scalar& left, const Scalar& right) {
  const auto* left_string = std::get_if<std::string>(&left);
  const auto* right_string = std::get_if<std::string>(&right);
  if (left_string != nullptr && right_string != nullptr) return *left_string <=> *right_string;
  const auto left_number = number_in(left);
  const auto right_number = number_in(right);
  if (left_number && right_number) return *left_number <=> *right_number;
  return left == right ? std::partial_ordering::equivalent : std::partial_ordering::unordered;
}

std::string describe(const Scalar& scalar) {
  if (std::holds_alternative<Null>(scalar)) return "null";
  if (const auto* boolean = std::get_if<bool>(&scalar)) return *boolean ? "true" : "false";
  if (const auto* integer = std::get_if<std::int64_t>(&scalar)) return std::to_string(*integer);
  if (const auto* real = std::get_if<double>(&scalar)) return number_text(*real);
  return quote(std::get<std::string>(scalar));
}

}  // namespace dispatcher::cue
