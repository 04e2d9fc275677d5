// Deterministic automata over bytes, made from nondeterministic ones by the subset construction (M. O. Rabin
// and D. Scott, "Finite Automata and Their Decision Problems", 1959).
#ifndef DISPATCHER_EXPRESSION_DFA_HPP_
#define DISPATCHER_EXPRESSION_DFA_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "expression/nfa.hpp"

namespace dispatcher::expression {

inline constexpr std::size_t kMaxDfaStates = 1000;  // bounds the memory of one pattern

// A deterministic automaton as a transition table. A state is denoted by the offset of its row in
// `transitions`, so that a transition is one addition and one load.
struct Dfa {
  // The first two states decide the result: no continuation of the text matches, or every one does.
  static constexpr std::uint32_t kRejecting = 0;
  static constexpr std::uint32_t kAccepting = 1;
  static constexpr std::uint32_t kFirstUndecided = 2;

  std::array<std::uint8_t, 256> byte_class{};  // by byte; all states treat the bytes of one class alike
  std::uint32_t row_width = 1;                 // the number of byte classes
  std::uint32_t start = 0;                     // offset of the start state's row
  std::vector<std::uint32_t> transitions;      // by state and byte class: the offset of the next state's row
  std::vector<std::uint8_t> accepts_at_end;    // by state: 1 if a text that ends in it matches
};

// Returns the automaton that accepts the texts that contain a match. Throws PatternError if it would have
// more than kMaxDfaStates states, or if building it takes too much work.
[[nodiscard]] Dfa build_dfa(const Nfa& nfa);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_DFA_HPP_
