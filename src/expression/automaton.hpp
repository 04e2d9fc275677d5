// A regular expression as a whole deterministic automaton over bytes, made at load: matching is one look-up a
// byte, without allocation. RE2 judges the pattern; what it does not take, or what grows too large, is
// turned down.
#ifndef DISPATCHER_EXPRESSION_AUTOMATON_HPP_
#define DISPATCHER_EXPRESSION_AUTOMATON_HPP_

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace dispatcher::expression {

struct PatternError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Automaton {
 public:
  static constexpr std::size_t kMaxStates = 1000;
  static constexpr std::size_t kMaxNodes = 5000;  // of the automaton before it is made deterministic

  // Throws PatternError.
  explicit Automaton(const std::string& pattern);
  // Is there a match anywhere in the text, which is UTF-8?
  [[nodiscard]] bool matches(std::string_view text) const noexcept {
    std::uint32_t at = start_;
    for (const char letter : text) {
      at = next_[at + classes_[static_cast<unsigned char>(letter)]];
      if (at < kDecided * width_) return at == kYes * width_;
    }
    return at == kYes * width_ || (at != kNo * width_ && at_end_[at / width_] != 0);
  }
  [[nodiscard]] std::size_t states() const { return at_end_.size(); }
  [[nodiscard]] std::size_t bytes() const {
    return next_.size() * sizeof(next_[0]) + at_end_.size() + classes_.size();
  }

 private:
  // The first two states: no text can match any more, or it has matched already.
  static constexpr std::uint32_t kNo = 0, kYes = 1, kDecided = 2;
  std::array<std::uint8_t, 256> classes_{};  // of bytes that no state tells apart
  std::uint32_t width_ = 1, start_ = 0;      // a state is told by where its row begins
  std::vector<std::uint32_t> next_;
  std::vector<std::uint8_t> at_end_;  // does the text match if it ends here?
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_AUTOMATON_HPP_
