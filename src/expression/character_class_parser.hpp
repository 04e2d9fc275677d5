// Escapes and bracket expressions of patterns, such as \d and [^a-z].
#ifndef DISPATCHER_EXPRESSION_CHARACTER_CLASS_PARSER_HPP_
#define DISPATCHER_EXPRESSION_CHARACTER_CLASS_PARSER_HPP_

#include "expression/character_set.hpp"
#include "expression/pattern_cursor.hpp"

namespace dispatcher::expression {

// Whether a letter matches only in its own case or in both cases.
enum class CaseMode { kSensitive, kInsensitive };

// The characters that an escape denotes.
struct Escape {
  CharacterSet characters;
  // For a class such as \d, which already contains the other cases and cannot begin a range.
  bool is_perl_class = false;
};

// Parses the escape whose backslash is at the cursor. Throws PatternError if it is malformed or not
// supported.
[[nodiscard]] Escape parse_escape(PatternCursor& cursor, CaseMode case_mode);

// Parses a bracket expression whose '[' has been consumed. Throws PatternError if it is malformed or not
// supported.
[[nodiscard]] CharacterSet parse_bracket_expression(PatternCursor& cursor, CaseMode case_mode);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_CHARACTER_CLASS_PARSER_HPP_
