// UTF-8 (RFC 3629): validation, lengths and encoding.
#ifndef DISPATCHER_CUE_UTF8_HPP_
#define DISPATCHER_CUE_UTF8_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dispatcher::cue {

/// A range of well-formed sequences of more than one byte, as in RFC 3629, section 4, selected by the first
/// byte. Bytes after the second one are continuation bytes.
struct Utf8Form {
  unsigned first_min;
  unsigned first_max;
  unsigned second_min;
  unsigned second_max;
  std::size_t length;
};
inline constexpr std::array<Utf8Form, 8> kUtf8Forms = {{{0xC2, 0xDF, 0x80, 0xBF, 2},
                                                        {0xE0, 0xE0, 0xA0, 0xBF, 3},
                                                        {0xE1, 0xEC, 0x80, 0xBF, 3},
                                                        {0xED, 0xED, 0x80, 0x9F, 3},
                                                        {0xEE, 0xEF, 0x80, 0xBF, 3},
                                                        {0xF0, 0xF0, 0x90, 0xBF, 4},
                                                        {0xF1, 0xF3, 0x80, 0xBF, 4},
                                                        {0xF4, 0xF4, 0x80, 0x8F, 4}}};

/// Returns whether `text` starts with a sequence of this form. Its first byte must already match the form.
[[nodiscard]] inline bool starts_with_form(std::string_view text, const Utf8Form& form) {
  if (text.size() < form.length) return false;
  const auto second = static_cast<unsigned char>(text[1]);
  if (second < form.second_min || second > form.second_max) return false;
  for (const char next : text.substr(2, form.length - 2)) {
    if ((static_cast<unsigned char>(next) & 0xC0U) != 0x80U) return false;
  }
  return true;
}

/// Returns the length in bytes of the character at the front of `text`, or 0 if it is not well-formed.
[[nodiscard]] inline std::size_t utf8_length(std::string_view text) {
  if (text.empty()) return 0;
  const auto first = static_cast<unsigned char>(text.front());
  if (first < 0x80) return 1;
  for (const Utf8Form& form : kUtf8Forms) {
    if (first >= form.first_min && first <= form.first_max)
      return starts_with_form(text, form) ? form.length : 0;
  }
  return 0;
}

/// Returns the offset of the first byte that is not well-formed UTF-8, or npos if all of `text` is
/// well-formed.
[[nodiscard]] inline std::size_t invalid_utf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const std::size_t length = utf8_length(text.substr(i));
    if (length == 0) return i;
    i += length;
  }
  return std::string_view::npos;
}

/// Appends a code point, which must be at most 0x10FFFF and must not be a surrogate.
inline void encode_utf8(std::string& out, std::uint32_t code_point) {
  const auto continuation = [&](unsigned shift) {
    return static_cast<char>(0x80U | ((code_point >> shift) & 0x3FU));
  };
  if (code_point < 0x80) {
    out += static_cast<char>(code_point);
  } else if (code_point < 0x800) {
    out += {static_cast<char>(0xC0U | (code_point >> 6U)), continuation(0)};
  } else if (code_point < 0x10000) {
    out += {static_cast<char>(0xE0U | (code_point >> 12U)), continuation(6), continuation(0)};
  } else {
    out +=
        {static_cast<char>(0xF0U | (code_point >> 18U)), continuation(12), continuation(6), continuation(0)};
  }
}

/// Returns the longest prefix of at most `maximum` bytes that ends with a complete, well-formed character.
[[nodiscard]] inline std::string clip_utf8(std::string_view text, std::size_t maximum) {
  std::size_t end = 0;
  while (end < text.size()) {
    const std::size_t length = utf8_length(text.substr(end));
    if (length == 0 || end + length > maximum) break;
    end += length;
  }
  return std::string(text.substr(0, end));
}

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_UTF8_HPP_
