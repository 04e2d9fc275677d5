#include "expression/dfa.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "expression/pattern_error.hpp"

namespace dispatcher::expression {

namespace {

constexpr std::size_t kMaxWork = 5'000'000;  // limit on the total size of the state sets that are processed
constexpr unsigned kByteValues = 256;

struct ByteClasses {
  std::array<std::uint8_t, kByteValues> class_of{};
  std::vector<std::uint8_t> representatives;  // one byte of each class
};

// Groups bytes into classes: bytes that no byte range of the automaton separates belong to one class.
ByteClasses find_byte_classes(const Nfa& nfa) {
  std::array<bool, kByteValues + 1> begins_class{};
  for (const NfaState& state : nfa.states) {
    if (state.kind != NfaState::Kind::kByteRange || state.low > state.high) continue;
    begins_class[state.low] = true;
    begins_class[state.high + 1U] = true;
  }
  ByteClasses classes;
  classes.representatives.push_back(0);
  for (unsigned byte = 1; byte < kByteValues; ++byte) {
    if (begins_class[byte]) classes.representatives.push_back(static_cast<std::uint8_t>(byte));
    classes.class_of[byte] = static_cast<std::uint8_t>(classes.representatives.size() - 1);
  }
  return classes;
}

// Builds a deterministic automaton. Each of its states stands for a set of states of the nondeterministic
// one.
class SubsetConstruction {
 public:
  explicit SubsetConstruction(const Nfa& nfa) : nfa_(nfa), closure_(nfa) {}

  Dfa build() {
    const ByteClasses classes = find_byte_classes(nfa_);
    dfa_.byte_class = classes.class_of;
    dfa_.row_width = static_cast<std::uint32_t>(classes.representatives.size());
    add_decided_states();
    dfa_.start = add_start_state() * dfa_.row_width;
    for (std::size_t state = Dfa::kFirstUndecided; state < sets_.size(); ++state) {
      for (const std::uint8_t byte : classes.representatives)
        dfa_.transitions.push_back(next_state(state, byte) * dfa_.row_width);
    }
    return std::move(dfa_);
  }

 private:
  [[nodiscard]] bool is_match(const StateSet& set) const {
    return std::binary_search(set.begin(), set.end(), nfa_.match);
  }

  // Adds the rejecting and the accepting state, whose transitions all lead back to themselves.
  void add_decided_states() {
    sets_.resize(Dfa::kFirstUndecided);
    dfa_.accepts_at_end = {0, 1};
    dfa_.transitions.assign(dfa_.row_width, Dfa::kRejecting * dfa_.row_width);
    dfa_.transitions.insert(dfa_.transitions.end(), dfa_.row_width, Dfa::kAccepting * dfa_.row_width);
  }

  // Adds the start state and returns its number. It is a separate state that is never reached again, because
  // ^ matches only at the start of the text. If the text is empty, its start is also its end.
  std::uint32_t add_start_state() {
    StateSet start = closure_.of({nfa_.start}, {.is_begin = true, .is_end = false});
    if (is_match(start)) return Dfa::kAccepting;
    const bool matches_empty = is_match(closure_.of({nfa_.start}, {.is_begin = true, .is_end = true}));
    return add_state(std::move(start), matches_empty);
  }

  std::uint32_t add_state(StateSet set, bool accepts_at_end) {
    dfa_.accepts_at_end.push_back(accepts_at_end ? 1 : 0);
    sets_.push_back(std::move(set));
    return static_cast<std::uint32_t>(sets_.size()) - 1;
  }

  // Returns the state that `byte` leads to from `state`.
  std::uint32_t next_state(std::size_t state, std::uint8_t byte) {
    StateSet next;
    for (const NfaStateId id : sets_[state]) {
      const NfaState& nfa_state = nfa_.states[static_cast<std::size_t>(id)];
      if (nfa_state.consumes(byte)) next.push_back(nfa_state.next);
    }
    next.push_back(nfa_.start);  // a match may begin at any byte
    work_ += sets_[state].size() + next.size();
    if (work_ > kMaxWork) throw PatternError("the pattern takes too much work to compile");
    StateSet reached = closure_.of(next, {});
    if (reached.empty()) return Dfa::kRejecting;  // the pattern is anchored at the start of the text
    return find_or_add_state(std::move(reached));
  }

  std::uint32_t find_or_add_state(StateSet set) {
    if (is_match(set)) return Dfa::kAccepting;
    const auto [it, is_new] = ids_.emplace(set, static_cast<std::uint32_t>(sets_.size()));
    if (!is_new) return it->second;
    if (sets_.size() >= kMaxDfaStates)
      throw PatternError("the pattern needs more than " + std::to_string(kMaxDfaStates) + " states");
    const bool accepts_at_end = is_match(closure_.of(set, {.is_begin = false, .is_end = true}));
    return add_state(std::move(set), accepts_at_end);
  }

  const Nfa& nfa_;
  EpsilonClosure closure_;
  std::vector<StateSet> sets_;  // the set of each state of the deterministic automaton
  std::map<StateSet, std::uint32_t> ids_;
  std::size_t work_ = 0;
  Dfa dfa_;
};

}  // namespace

Dfa build_dfa(const Nfa& nfa) { return SubsetConstruction(nfa).build(); }

}  // namespace dispatcher::expression
