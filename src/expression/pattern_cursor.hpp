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

  // Returns the byte at `offset` from the current position, or '\0' past the end.
  [[nodiscard]] char peek(std::size_t offset = 0) const {
    return position_ + offset < text_.size() ? text_[position_ + offset] : '\0';
  }

  // Returns the part that has not been read yet.
  [[nodiscard]] std::string_view remaining() const { return text_.substr(position_); }

  // Skips `count` bytes, but stops at the end.
  void advance(std::size_t count = 1) {
    const std::size_t left = text_.size() - position_;
    position_ += count < left ? count : left;
  }

  // If `token` comes next, skips it and returns true; otherwise returns false.
  bool consume(std::string_view token) {
    if (!remaining().starts_with(token)) return false;
    position_ += token.size();
    return true;
  }

  // Reads and returns the next byte. Must not be called at the end.
  char next_byte() { return text_[position_++]; }

  // Reads and returns the next code point. Throws PatternError if the next bytes are not valid UTF-8.
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
