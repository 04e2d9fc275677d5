// Regular expressions with a predictable matching time: one table lookup for each byte of the text.
#ifndef DISPATCHER_EXPRESSION_AUTOMATON_HPP_
#define DISPATCHER_EXPRESSION_AUTOMATON_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "expression/dfa.hpp"
#include "expression/pattern_error.hpp"

namespace dispatcher::expression {

// A pattern that has been compiled to a complete deterministic automaton. matches() allocates no memory,
// unlike RE2, which builds its states while it matches. Immutable, so that threads may share it.
class Automaton {
 public:
  // Builds the automaton of a pattern in the syntax of RE2. Throws PatternError if RE2 does not accept the
  // pattern, if the pattern uses a feature that is not supported, or if the automaton grows too large.
  explicit Automaton(const std::string& pattern);

  // Returns whether `text`, which must be UTF-8, contains a match.
  [[nodiscard]] bool matches(std::string_view text) const noexcept {
    const std::uint32_t accepting = Dfa::kAccepting * dfa_.row_width;
    const std::uint32_t rejecting = Dfa::kRejecting * dfa_.row_width;
    const std::uint32_t first_undecided = Dfa::kFirstUndecided * dfa_.row_width;
    std::uint32_t state = dfa_.start;
    for (const char byte : text) {
      state = dfa_.transitions[state + dfa_.byte_class[static_cast<unsigned char>(byte)]];
      if (state < first_undecided) return state == accepting;
    }
    return state == accepting || (state != rejecting && dfa_.accepts_at_end[state / dfa_.row_width] != 0);
  }

  // Returns the number of states.
  [[nodiscard]] std::size_t states() const { return dfa_.accepts_at_end.size(); }

  // Returns the memory that the tables take, in bytes.
  [[nodiscard]] std::size_t bytes() const {
    return dfa_.transitions.size() * sizeof(dfa_.transitions[0]) + dfa_.accepts_at_end.size() +
           dfa_.byte_class.size();
  }

 private:
  Dfa dfa_;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_AUTOMATON_HPP_
