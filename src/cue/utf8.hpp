// UTF-8 as RFC 3629 has it: what is well-formed, how long it is, and how it is written.
#ifndef DISPATCHER_CUE_UTF8_HPP_
#define DISPATCHER_CUE_UTF8_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dispatcher::cue {

// Well-formed byte sequences by their first byte, as in RFC 3629, section 4. Bytes after the second one are
// continuation bytes.
struct Utf8Form {
  unsigned first_min, first_max;
  unsigned second_min, second_max;
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

// Whether `text` starts with a sequence of this form, whose first byte is known to fit.
inline bool starts_with_form(std::string_view text, const Utf8Form& form) {
  if (text.size() < form.length) return false;
  const auto second = static_cast<unsigned char>(text[1]);
  if (second < form.second_min || second > form.second_max) return false;
  for (const char next : text.substr(2, form.length - 2)) {
    if ((static_cast<unsigned char>(next) & 0xC0U) != 0x80U) return false;
  }
  return true;
}

// The length of the character at the front of `text`; 0: none is well-formed there.
inline std::size_t utf8_length(std::string_view text) {
  if (text.empty()) return 0;
  const auto first = static_cast<unsigned char>(text.front());
  if (first < 0x80) return 1;
  for (const Utf8Form& form : kUtf8Forms) {
    if (first >= form.first_min && first <= form.first_max)
      return starts_with_form(text, form) ? form.length : 0;
  }
  return 0;
}

// Where it stops being well-formed; npos: nowhere.
inline std::size_t invalid_utf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const std::size_t length = utf8_length(text.substr(i));
    if (length == 0) return i;
    i += length;
  }
  return std::string_view::npos;
}

inline void encode_utf8(std::string& out, std::uint32_t character) {
  const auto tail = [&](unsigned shift) { return static_cast<char>(0x80U | ((character >> shift) & 0x3FU)); };
  if (character < 0x80) {
    out += static_cast<char>(character);
  } else if (character < 0x800) {
    out += {static_cast<char>(0xC0U | (character >> 6U)), tail(0)};
  } else if (character < 0x10000) {
    out += {static_cast<char>(0xE0U | (character >> 12U)), tail(6), tail(0)};
  } else {
    out += {static_cast<char>(0xF0U | (character >> 18U)), tail(12), tail(6), tail(0)};
  }
}

// At most `maximum` bytes of it, no character cut.
inline std::string clip_utf8(std::string_view text, std::size_t maximum) {
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
