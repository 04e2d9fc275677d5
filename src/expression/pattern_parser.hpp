// Parses regular expressions, in the syntax of RE2 (https://github.com/google/re2/wiki/Syntax), into a syntax
// tree. Supports what an automaton over bytes can match. Word boundaries and Unicode classes are not
// supported.
#ifndef DISPATCHER_EXPRESSION_PATTERN_PARSER_HPP_
#define DISPATCHER_EXPRESSION_PATTERN_PARSER_HPP_

#include <string_view>
#include <vector>

#include "expression/character_set.hpp"

namespace dispatcher::expression {

// A node of a pattern's syntax tree, which owns its children.
struct PatternNode {
  enum class Kind {
    kCharacters,   // one of `characters`
    kTextBegin,    // ^ or \A
    kTextEnd,      // $ or \z
    kSequence,     // all children, one after another
    kAlternation,  // any of the children
    kRepetition    // the only child, `min_count` to `max_count` times
  };
  static constexpr int kUnbounded = -1;  // max_count of a repetition without an upper limit

  Kind kind = Kind::kSequence;
  CharacterSet characters;
  std::vector<PatternNode> children;
  int min_count = 0;
  int max_count = kUnbounded;
};

// Parses a pattern that RE2 has accepted. Its groups capture nothing, because only whether a text matches is
// needed. Throws PatternError if the pattern uses an unsupported feature.
[[nodiscard]] PatternNode parse_pattern(std::string_view pattern);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_PATTERN_PARSER_HPP_
