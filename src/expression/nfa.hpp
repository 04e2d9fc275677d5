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
    kTextBegin,  // continues at `next` where no byte has been consumed
    kTextEnd,    // continues at `next` where no byte is left
    kMatch
  };
  Kind kind = Kind::kSplit;
  std::uint8_t low = 0;
  std::uint8_t high = 0;
  NfaStateId next = kNoState;
  NfaStateId alternative = kNoState;

  // Whether it is a byte range that contains `byte`.
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

// Throws PatternError where there would be more than kMaxNfaStates states.
[[nodiscard]] Nfa build_nfa(const PatternNode& pattern);

// States that are active at one place of a text, sorted.
using StateSet = std::vector<NfaStateId>;

// The place in a text at which an epsilon closure is computed, which decides whether ^ and $ match.
struct TextPlace {
  bool is_begin = false;
  bool is_end = false;
};

// Computes epsilon closures of one automaton, which must outlive it.
class EpsilonClosure {
 public:
  explicit EpsilonClosure(const Nfa& nfa) : states_(nfa.states), is_visited_(nfa.states.size()) {}

  // All states that are reached from `from` without consuming a byte. kTextEnd states are always in the set,
  // but followed only at the text's end.
  [[nodiscard]] StateSet of(const StateSet& from, TextPlace place);

 private:
  const std::vector<NfaState>& states_;
  std::vector<bool> is_visited_;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_NFA_HPP_
