// Nondeterministic automata over bytes, made from patterns by Thompson's construction (Ken Thompson, "Regular
// Expression Search Algorithm", CACM 1968). Code points become sequences of byte ranges, as in RE2 and
// https://swtch.com/~rsc/regexp/regexp3.html.
#ifndef DISPATCHER_EXPRESSION_NFA_HPP_
#define DISPATCHER_EXPRESSION_NFA_HPP_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "expression/pattern_parser.hpp"

namespace dispatcher::expression {

inline constexpr std::size_t kMaxNfaStates = 5000;  // bounds the work of building the deterministic automaton

// Index of a state in Nfa::states.
using NfaStateId = int;
inline constexpr NfaStateId kNoState = -1;

// A state with its outgoing transitions.
struct NfaState {
  enum class Kind : std::uint8_t {
    kByteRange,  // consumes a byte from `low` to `high`, then continues at `next`
    kSplit,      // continues at `next` and at `alternative`
    kTextBegin,  // continues at `next` if no byte has been consumed
    kTextEnd,    // continues at `next` if no byte is left
    kMatch
  };
  Kind kind = Kind::kSplit;
  std::uint8_t low = 0;
  std::uint8_t high = 0;
  NfaStateId next = kNoState;
  NfaStateId alternative = kNoState;

  // Returns whether this is a byte range that contains `byte`.
  [[nodiscard]] bool consumes(std::uint8_t byte) const {
    return kind == Kind::kByteRange && low <= byte && byte <= high;
  }
};

// An automaton with one start state and one accepting state.
struct Nfa {
  std::vector<NfaState> states;
  NfaStateId start = kNoState;
  NfaStateId match = kNoState;
};

// Builds the automaton of a pattern. Throws PatternError if it would have more than kMaxNfaStates states.
[[nodiscard]] Nfa build_nfa(const PatternNode& pattern);

// The states that are active at one position in a text, sorted.
using StateSet = std::vector<NfaStateId>;

// Whether the position at which an epsilon closure is computed is the start or the end of the text. Decides
// whether ^ and $ match.
struct TextPlace {
  bool is_begin = false;
  bool is_end = false;
};

// Computes epsilon closures of one automaton, which must outlive it.
class EpsilonClosure {
 public:
  explicit EpsilonClosure(const Nfa& nfa) : states_(nfa.states), is_visited_(nfa.states.size()) {}

  // Returns the byte range, match and kTextEnd states that are reached from `from` without consuming a byte.
  // kTextEnd states are always in the set, but are followed only at the end of the text.
  [[nodiscard]] StateSet of(const StateSet& from, TextPlace place);

 private:
  const std::vector<NfaState>& states_;
  std::vector<bool> is_visited_;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_NFA_HPP_
