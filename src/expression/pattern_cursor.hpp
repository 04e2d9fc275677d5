// A reading position in a pattern.
#ifndef DISPATCHER_EXPRESSION_PATTERN_CURSOR_HPP_
#define DISPATCHER_EXPRESSION_PATTERN_CURSOR_HPP_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cue/utf8.hpp"
#include "expression/pattern_error.hpp"

namespace dispatcher::expression {

// Reads a pattern from front to back. The text is not copied and must outlive the cursor.
class PatternCursor {
 public:
  explicit PatternCursor(std::string_view text) : text_(text) {}

  [[nodiscard]] bool at_end() const { return position_ >= text_.size(); }

  // The byte at `offset` from here, '\0' past the end.
  [[nodiscard]] char peek(std::size_t offset = 0) const {
    return position_ + offset < text_.size() ? text_[position_ + offset] : '\0';
  }

  // What has not been read yet.
  [[nodiscard]] std::string_view remaining() const { return text_.substr(position_); }

  // Skips `count` bytes, not further than to the end.
  void advance(std::size_t count = 1) {
    const std::size_t left = text_.size() - position_;
    position_ += count < left ? count : left;
  }

  // Skips `token` and returns true where it comes next.
  bool consume(std::string_view token) {
    if (!remaining().starts_with(token)) return false;
    position_ += token.size();
    return true;
  }

  // The byte here, which is skipped. Not to be called at the end.
  char next_byte() { return text_[position_++]; }

  // The code point here, which is skipped. Throws PatternError where there is none.
  std::uint32_t next_code_point() {
    const std::string_view unread = remaining();
    const std::size_t length = cue::utf8_length(unread);
    if (length == 0) throw PatternError("not UTF-8");
    const auto byte = [&](std::size_t index) { return static_cast<unsigned char>(unread[index]); };
    // The first byte of a longer sequence has as many leading ones as it has bytes, then a zero.
    std::uint32_t code_point = length == 1 ? byte(0) : byte(0) & (0xFFU >> (length + 1));
    for (std::size_t i = 1; i < length; ++i) code_point = code_point << 6U | (byte(i) & 0x3FU);
    position_ += length;
    return code_point;
  }

 private:
  std::string_view text_;
  std::size_t position_ = 0;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_PATTERN_CURSOR_HPP_
