// Escape sequences and the indentation of multiline strings.
#include <charconv>
#include <system_error>

#include "cue/literals.hpp"
#include "cue/syntax_error.hpp"
#include "cue/utf8.hpp"

namespace dispatcher::cue {

namespace {

constexpr std::uint32_t kMaxCodePoint = 0x10FFFF;
// UTF-16 surrogates. JSON escapes a code point beyond 16 bits as a high and a low surrogate.
constexpr std::uint32_t kFirstHighSurrogate = 0xD800;
constexpr std::uint32_t kFirstLowSurrogate = 0xDC00;
constexpr std::uint32_t kLastLowSurrogate = 0xDFFF;
constexpr std::uint32_t kFirstSupplementary = 0x10000;
constexpr unsigned kSurrogateBits = 10;

constexpr std::string_view kUtf16Escape = "\\u";
constexpr std::size_t kUtf16Digits = 4;  // after \u
constexpr std::size_t kUtf32Digits = 8;  // after \U

bool is_high_surrogate(std::uint32_t value) {
  return value >= kFirstHighSurrogate && value < kFirstLowSurrogate;
}

bool is_low_surrogate(std::uint32_t value) {
  return value >= kFirstLowSurrogate && value <= kLastLowSurrogate;
}

// Returns the value of exactly `count` hexadecimal digits. `at` is the escape sequence that they belong to.
std::uint32_t parse_hexadecimal(std::string_view digits, std::size_t count, const char* at) {
  std::uint32_t value = 0;
  const char* const end = digits.data() + digits.size();
  const auto [parsed_end, error] = std::from_chars(digits.data(), end, value, 16);
  if (error != std::errc() || parsed_end != end || digits.size() != count)
    throw SyntaxError{at, "hexadecimal digits expected after the backslash"};
  return value;
}

// Replaces the escape sequences of one string.
class Unescaper {
 public:
  explicit Unescaper(std::string_view content) : content_(content) {}

  std::string run() {
    while (offset_ < content_.size()) {
      const char next = content_[offset_];
      if (next == '\\') {
        replace_escape();
      } else {
        result_ += next;
        ++offset_;
      }
    }
    return std::move(result_);
  }

 private:
  void replace_escape() {
    constexpr std::string_view kLetters = "abfnrtv\\/\"'";
    constexpr std::string_view kCharacters = "\a\b\f\n\r\t\v\\/\"'";
    const char* const escape = content_.data() + offset_;
    ++offset_;
    // The grammar requires a character after each backslash, but dedent() may have removed a line end.
    if (offset_ == content_.size()) throw SyntaxError{escape, "unknown escape in the text"};
    const char letter = content_[offset_];
    ++offset_;
    if (const std::size_t index = kLetters.find(letter); index != std::string_view::npos) {
      result_ += kCharacters[index];
    } else if (letter == 'u') {
      append_code_point(kUtf16Digits, escape);
    } else if (letter == 'U') {
      append_code_point(kUtf32Digits, escape);
    } else if (letter == '(') {
      throw SyntaxError{escape, "interpolation is not supported"};
    } else {
      throw SyntaxError{escape, "unknown escape in the text"};
    }
  }

  void append_code_point(std::size_t digits, const char* escape) {
    std::uint32_t code_point = parse_hexadecimal(content_.substr(offset_, digits), digits, escape);
    offset_ += digits;
    if (is_high_surrogate(code_point)) code_point = join_surrogates(code_point, escape);
    const bool is_surrogate = is_high_surrogate(code_point) || is_low_surrogate(code_point);
    if (code_point > kMaxCodePoint || is_surrogate)
      throw SyntaxError{escape, "not a valid Unicode character"};
    encode_utf8(result_, code_point);
  }

  // Returns the code point of a high surrogate and the escaped low surrogate that follows, or `high` if no
  // low surrogate follows.
  std::uint32_t join_surrogates(std::uint32_t high, const char* escape) {
    const std::string_view following = content_.substr(offset_, kUtf16Escape.size() + kUtf16Digits);
    const bool is_escape = following.size() == kUtf16Escape.size() + kUtf16Digits;
    if (!is_escape || !following.starts_with(kUtf16Escape)) return high;
    const std::uint32_t low = parse_hexadecimal(following.substr(kUtf16Escape.size()), kUtf16Digits, escape);
    if (!is_low_surrogate(low)) return high;
    offset_ += following.size();
    return kFirstSupplementary + ((high - kFirstHighSurrogate) << kSurrogateBits) +
           (low - kFirstLowSurrogate);
  }

  std::string_view content_;
  std::size_t offset_ = 0;
  std::string result_;
};

std::string_view without_carriage_return(std::string_view line) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

}  // namespace

std::string unescape(std::string_view content) { return Unescaper(content).run(); }

std::string dedent(std::string_view content) {
  const char* const opening = content.data();
  if (content.starts_with('\r')) content.remove_prefix(1);
  if (!content.starts_with('\n'))
    throw SyntaxError{opening, "a line's end expected after the opening quotes"};
  const std::size_t last_line_end = content.rfind('\n');
  const std::string_view indent = content.substr(last_line_end + 1);
  if (indent.find_first_not_of(" \t") != std::string_view::npos)
    throw SyntaxError{opening, "the closing quotes must be on a line of their own"};

  std::string result;
  for (std::size_t begin = 1; begin <= last_line_end;) {
    const std::size_t end = content.find('\n', begin);
    std::string_view line = without_carriage_return(content.substr(begin, end - begin));
    if (line.starts_with(indent)) {
      line.remove_prefix(indent.size());
    } else if (!line.empty()) {
      throw SyntaxError{content.data() + begin, "a line is indented less than the closing quotes"};
    }
    if (begin > 1) result += '\n';
    result += line;
    begin = end + 1;
  }
  return result;
}

}  // namespace dispatcher::cue
