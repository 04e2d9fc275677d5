#include "expression/character_class_parser.hpp"

#include <cctype>
#include <string>
#include <string_view>
#include <utility>

#include "expression/pattern_error.hpp"

namespace dispatcher::expression {

namespace {

CharacterSet single(std::uint32_t code_point) { return {{code_point, code_point}}; }

void append(CharacterSet& set, const CharacterSet& more) { set.insert(set.end(), more.begin(), more.end()); }

Escape parse_perl_class(PatternCursor& cursor, CaseMode case_mode) {
  const auto letter = static_cast<unsigned char>(cursor.next_byte());
  CharacterSet set = perl_class(static_cast<char>(std::tolower(letter)));
  // The other cases are added before the set is complemented, because \W must not match what \w matches in
  // another case.
  if (case_mode == CaseMode::kInsensitive) add_other_cases(set);
  const bool is_negated = std::isupper(letter) != 0;
  if (is_negated) set = complement(std::move(set));
  return {std::move(set), true};
}

// Parses an escape such as \x41 or \x{20AC}, after its backslash.
CharacterSet parse_hexadecimal(PatternCursor& cursor) {
  cursor.advance();
  std::size_t length = 2;
  if (cursor.consume("{")) length = cursor.remaining().find('}');
  const std::string digits(cursor.remaining().substr(0, length));
  cursor.advance(digits.size());
  cursor.consume("}");
  return single(static_cast<std::uint32_t>(std::stoul("0" + digits, nullptr, 16)));
}

// Parses [:name:] or [:^name:], after its "[:".
CharacterSet parse_posix_class(PatternCursor& cursor, CaseMode case_mode) {
  const std::size_t length = cursor.remaining().find(":]");
  std::string_view name = cursor.remaining().substr(0, length);
  const bool is_negated = name.starts_with('^');
  if (is_negated) name.remove_prefix(1);
  std::optional<CharacterSet> set = posix_class(name);
  if (!set) throw PatternError("unknown character class");
  if (case_mode == CaseMode::kInsensitive) add_other_cases(*set);
  cursor.advance(length + 2);
  return is_negated ? complement(std::move(*set)) : std::move(*set);
}

// Parses one character or escape in a bracket expression.
Escape parse_bracket_item(PatternCursor& cursor, CaseMode case_mode) {
  if (cursor.peek() == '\\') return parse_escape(cursor, case_mode);
  return {single(cursor.next_code_point()), false};
}

// Parses a character, an escape or a range such as a-z in a bracket expression.
CharacterSet parse_bracket_range(PatternCursor& cursor, CaseMode case_mode) {
  Escape item = parse_bracket_item(cursor, case_mode);
  CharacterSet& set = item.characters;
  const bool is_single = set.size() == 1 && set[0].low == set[0].high && !item.is_perl_class;
  // A '-' before the closing bracket is a literal.
  const bool is_range =
      is_single && cursor.peek() == '-' && cursor.remaining().size() > 1 && cursor.peek(1) != ']';
  if (is_range) {
    cursor.advance();
    set[0].high = parse_bracket_item(cursor, case_mode).characters[0].high;
  }
  return std::move(set);
}

}  // namespace

Escape parse_escape(PatternCursor& cursor, CaseMode case_mode) {
  cursor.advance();
  if (cursor.at_end()) throw PatternError("a character expected after the backslash");
  const char letter = cursor.peek();
  if (std::string_view("dswDSW").find(letter) != std::string_view::npos)
    return parse_perl_class(cursor, case_mode);
  constexpr std::string_view kLetters = "afnrtv";
  constexpr std::string_view kControls = "\a\f\n\r\t\v";
  if (const std::size_t index = kLetters.find(letter); index != std::string_view::npos) {
    cursor.advance();
    return {single(static_cast<std::uint32_t>(kControls[index])), false};
  }
  if (letter == 'x') return {parse_hexadecimal(cursor), false};
  if (std::isalnum(static_cast<unsigned char>(letter)) != 0)
    throw PatternError(std::string("'\\") + letter + "' is not supported");
  return {single(cursor.next_code_point()), false};
}

CharacterSet parse_bracket_expression(PatternCursor& cursor, CaseMode case_mode) {
  CharacterSet set;
  const bool is_negated = cursor.consume("^");
  bool is_first = true;  // a ']' in the first place is a literal
  while (cursor.at_end() || cursor.peek() != ']' || is_first) {
    if (cursor.at_end()) throw PatternError("']' expected");
    is_first = false;
    if (cursor.consume("[:")) {
      append(set, parse_posix_class(cursor, case_mode));
    } else {
      append(set, parse_bracket_range(cursor, case_mode));
    }
  }
  cursor.advance();
  if (case_mode == CaseMode::kInsensitive) add_other_cases_or_throw(set);
  set = normalized(std::move(set));
  return is_negated ? complement(std::move(set)) : set;
}

}  // namespace dispatcher::expression
