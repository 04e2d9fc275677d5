// Escapes and bracket expressions of patterns, such as \d and [^a-z].
#ifndef DISPATCHER_EXPRESSION_CHARACTER_CLASS_PARSER_HPP_
#define DISPATCHER_EXPRESSION_CHARACTER_CLASS_PARSER_HPP_

#include "expression/character_set.hpp"
#include "expression/pattern_cursor.hpp"

namespace dispatcher::expression {

enum class CaseMode { kSensitive, kInsensitive };

// What an escape denotes.
struct Escape {
  CharacterSet characters;
  bool is_perl_class = false;  // \d and the like: cases are already added, and it begins no range
};

// Reads the escape whose backslash is at the cursor. Throws PatternError.
[[nodiscard]] Escape parse_escape(PatternCursor& cursor, CaseMode case_mode);

// Reads a bracket expression whose '[' has been consumed. Throws PatternError.
[[nodiscard]] CharacterSet parse_bracket_expression(PatternCursor& cursor, CaseMode case_mode);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_CHARACTER_CLASS_PARSER_HPP_
