#include "expression/nfa.hpp"

#include <algorithm>
#include <array>
#include <string>

#include "cue/utf8.hpp"
#include "expression/pattern_error.hpp"

namespace dispatcher::expression {

namespace {

// Splits a range of code points, in ascending order, into ranges whose UTF-8 sequences have one length, and
// in which each byte either is the same in all sequences or takes all values between its first and its last
// one.
void split_for_utf8(CodePointRange range, std::vector<CodePointRange>& parts) {
  const auto [low, high] = range;
  if (low > high) return;
  constexpr std::array<std::uint32_t, 3> kLastOfLength = {0x7F, 0x7FF, 0xFFFF};
  for (const std::uint32_t last : kLastOfLength) {
    if (low > last || high <= last) continue;
    split_for_utf8({low, last}, parts);
    split_for_utf8({last + 1, high}, parts);
    return;
  }
  const bool is_ascii = high <= kLastOfLength[0];
  constexpr unsigned kContinuationBits = 6;  // bits of a code point in each byte after the first
  for (unsigned shift = kContinuationBits; shift <= 3 * kContinuationBits && !is_ascii;
       shift += kContinuationBits) {
    const std::uint32_t tail = (1U << shift) - 1;
    if ((low & ~tail) == (high & ~tail)) continue;
    if ((low & tail) != 0) {
      split_for_utf8({low, low | tail}, parts);
      split_for_utf8({(low | tail) + 1, high}, parts);
      return;
    }
    if ((high & tail) != tail) {
      split_for_utf8({low, (high & ~tail) - 1}, parts);
      split_for_utf8({high & ~tail, high}, parts);
      return;
    }
  }
  parts.push_back(range);
}

// Builds the automaton from the end of the pattern to its start: each build function is given the state that
// follows its part.
class NfaBuilder {
 public:
  Nfa build(const PatternNode& pattern) {
    nfa_.match = add({NfaState::Kind::kMatch, 0, 0, kNoState, kNoState});
    nfa_.start = build_node(pattern, nfa_.match);
    return std::move(nfa_);
  }

 private:
  NfaStateId add(const NfaState& state) {
    if (nfa_.states.size() >= kMaxNfaStates) throw PatternError("the pattern is too large");
    nfa_.states.push_back(state);
    return static_cast<NfaStateId>(nfa_.states.size()) - 1;
  }

  NfaStateId add_split(NfaStateId next, NfaStateId alternative) {
    return add({NfaState::Kind::kSplit, 0, 0, next, alternative});
  }

  NfaStateId add_byte_range(std::uint8_t low, std::uint8_t high, NfaStateId next) {
    return add({NfaState::Kind::kByteRange, low, high, next, kNoState});
  }

  // Builds the states of `node`. Returns the state at which it begins.
  NfaStateId build_node(const PatternNode& node, NfaStateId next) {
    switch (node.kind) {
      case PatternNode::Kind::kCharacters:
        return build_characters(node.characters, next);
      case PatternNode::Kind::kTextBegin:
        return add({NfaState::Kind::kTextBegin, 0, 0, next, kNoState});
      case PatternNode::Kind::kTextEnd:
        return add({NfaState::Kind::kTextEnd, 0, 0, next, kNoState});
      case PatternNode::Kind::kSequence:
        return build_sequence(node, next);
      case PatternNode::Kind::kAlternation:
        return build_alternation(node, next);
      case PatternNode::Kind::kRepetition:
        return build_repetition(node, next);
    }
    return next;
  }

  NfaStateId build_sequence(const PatternNode& node, NfaStateId next) {
    for (auto child = node.children.rbegin(); child != node.children.rend(); ++child)
      next = build_node(*child, next);
    return next;
  }

  NfaStateId build_alternation(const PatternNode& node, NfaStateId next) {
    NfaStateId begin = build_node(node.children.front(), next);
    for (std::size_t i = 1; i < node.children.size(); ++i)
      begin = add_split(begin, build_node(node.children[i], next));
    return begin;
  }

  // Unrolls a counted repetition: its child is built as often as it may match.
  NfaStateId build_repetition(const PatternNode& node, NfaStateId next) {
    const PatternNode& child = node.children.front();
    if (node.max_count == PatternNode::kUnbounded) {
      const NfaStateId loop = add_split(kNoState, next);
      const NfaStateId begin = build_node(child, loop);
      nfa_.states[static_cast<std::size_t>(loop)].next = begin;
      next = loop;
    } else {
      for (int i = node.min_count; i < node.max_count; ++i) next = add_split(build_node(child, next), next);
    }
    for (int i = 0; i < node.min_count; ++i) next = build_node(child, next);
    return next;
  }

  NfaStateId build_characters(const CharacterSet& set, NfaStateId next) {
    NfaStateId begin = kNoState;
    for (const CodePointRange& range : set) {
      std::vector<CodePointRange> parts;
      split_for_utf8(range, parts);
      for (const CodePointRange& part : parts) {
        const NfaStateId bytes = build_byte_sequence(part, next);
        begin = begin == kNoState ? bytes : add_split(begin, bytes);
      }
    }
    // An empty set becomes a byte range that contains no byte.
    return begin == kNoState ? add_byte_range(1, 0, next) : begin;
  }

  NfaStateId build_byte_sequence(CodePointRange range, NfaStateId next) {
    std::string low;
    std::string high;
    cue::encode_utf8(low, range.low);
    cue::encode_utf8(high, range.high);
    for (std::size_t i = low.size(); i-- > 0;)
      next = add_byte_range(static_cast<std::uint8_t>(low[i]), static_cast<std::uint8_t>(high[i]), next);
    return next;
  }

  Nfa nfa_;
};

}  // namespace

Nfa build_nfa(const PatternNode& pattern) { return NfaBuilder().build(pattern); }

StateSet EpsilonClosure::of(const StateSet& from, TextPlace place) {
  std::fill(is_visited_.begin(), is_visited_.end(), false);
  StateSet closure;
  std::vector<NfaStateId> pending(from.rbegin(), from.rend());
  while (!pending.empty()) {
    const NfaStateId id = pending.back();
    pending.pop_back();
    if (id == kNoState || is_visited_[static_cast<std::size_t>(id)]) continue;
    is_visited_[static_cast<std::size_t>(id)] = true;
    const NfaState& state = states_[static_cast<std::size_t>(id)];
    switch (state.kind) {
      case NfaState::Kind::kSplit:
        pending.push_back(state.alternative);
        pending.push_back(state.next);
        break;
      case NfaState::Kind::kTextBegin:
        if (place.is_begin) pending.push_back(state.next);
        break;
      case NfaState::Kind::kTextEnd:
        closure.push_back(id);
        if (place.is_end) pending.push_back(state.next);
        break;
      case NfaState::Kind::kByteRange:
      case NfaState::Kind::kMatch:
        closure.push_back(id);
        break;
    }
  }
  std::sort(closure.begin(), closure.end());
  return closure;
}

}  // namespace dispatcher::expression
