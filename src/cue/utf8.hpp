// UTF-8 as RFC 3629 has it: what is well-formed, how long it is, and how it is written.
#ifndef DISPATCHER_CUE_UTF8_HPP_
#define DISPATCHER_CUE_UTF8_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dispatcher::cue {

// The length of the character at the front of `s`; 0: none is well-formed there.
inline std::size_t utf8_length(std::string_view s) {
  const auto byte = [&](std::size_t i) { return i < s.size() ? static_cast<unsigned char>(s[i]) : 0U; };
  const auto follows = [&](std::size_t i, unsigned low = 0x80, unsigned high = 0xBF) {
    return byte(i) >= low && byte(i) <= high;
  };
  const unsigned b = byte(0);
  if (s.empty()) return 0;
  if (b < 0x80) return 1;
  if (b >= 0xC2 && b <= 0xDF) return follows(1) ? 2 : 0;
  if (b >= 0xE0 && b <= 0xEF)
    return follows(1, b == 0xE0 ? 0xA0 : 0x80, b == 0xED ? 0x9F : 0xBF) && follows(2) ? 3 : 0;
  if (b >= 0xF0 && b <= 0xF4)
    return follows(1, b == 0xF0 ? 0x90 : 0x80, b == 0xF4 ? 0x8F : 0xBF) && follows(2) && follows(3) ? 4 : 0;
  return 0;
}

// Where it stops being well-formed; npos: nowhere.
inline std::size_t invalid_utf8(std::string_view s) {
  for (std::size_t i = 0; i < s.size();) {
    const std::size_t length = utf8_length(s.substr(i));
    if (length == 0) return i;
    i += length;
  }
  return std::string_view::npos;
}

inline void encode_utf8(std::string& out, std::uint32_t c) {
  const auto tail = [&](unsigned shift) { return static_cast<char>(0x80U | ((c >> shift) & 0x3FU)); };
  if (c < 0x80) {
    out += static_cast<char>(c);
  } else if (c < 0x800) {
    out += {static_cast<char>(0xC0U | (c >> 6U)), tail(0)};
  } else if (c < 0x10000) {
    out += {static_cast<char>(0xE0U | (c >> 12U)), tail(6), tail(0)};
  } else {
    out += {static_cast<char>(0xF0U | (c >> 18U)), tail(12), tail(6), tail(0)};
  }
}

// At most `most` bytes of it, no character cut.
inline std::string clip_utf8(std::string_view s, std::size_t maximum) {
  std::size_t end = 0;
  while (end < s.size()) {
    const std::size_t length = utf8_length(s.substr(end));
    if (length == 0 || end + length > maximum) break;
    end += length;
  }
  return std::string(s.substr(0, end));
}

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_UTF8_HPP_
