#include "expression/pattern_parser.hpp"

#include <algorithm>
#include <cctype>
#include <optional>
#include <string>
#include <utility>

#include "expression/character_class_parser.hpp"
#include "expression/pattern_cursor.hpp"
#include "expression/pattern_error.hpp"

namespace dispatcher::expression {

namespace {

constexpr int kMaxNesting = 100;  // maximum nesting of groups; bounds the recursion
// The maximum count of a repetition. A larger count is reduced to this one, which exceeds the automaton's
// limit anyway.
constexpr int kMaxCount = 100'000;

// The minimum and maximum number of times that a repetition matches.
struct CountRange {
  int min_count = 0;
  int max_count = PatternNode::kUnbounded;
};

// A recursive descent parser.
class PatternParser {
 public:
  explicit PatternParser(std::string_view pattern) : cursor_(pattern) {}

  PatternNode parse() {
    PatternNode root = parse_alternation(0);
    if (!cursor_.at_end()) throw PatternError("unexpected ')'");
    return root;
  }

 private:
  // The flags that (?i) and (?s) set for the remainder of their group.
  struct Flags {
    CaseMode case_mode = CaseMode::kSensitive;
    bool dot_matches_newline = false;
  };

  PatternNode parse_alternation(int depth) {
    if (depth > kMaxNesting) throw PatternError("nested too deeply");
    const Flags outer = flags_;
    PatternNode alternation;
    alternation.kind = PatternNode::Kind::kAlternation;
    do {
      alternation.children.push_back(parse_sequence(depth));
    } while (cursor_.consume("|"));
    flags_ = outer;
    return alternation;
  }

  PatternNode parse_sequence(int depth) {
    PatternNode sequence;
    sequence.kind = PatternNode::Kind::kSequence;
    while (!cursor_.at_end() && cursor_.peek() != '|' && cursor_.peek() != ')') parse_item(sequence, depth);
    return sequence;
  }

  // Parses an atom, or the characters between \Q and \E, with the quantifiers that follow. Quantifiers after
  // \E apply to the last character.
  void parse_item(PatternNode& sequence, int depth) {
    if (cursor_.consume("\\Q")) {
      parse_quoted(sequence);
    } else if (auto atom = parse_atom(depth)) {
      sequence.children.push_back(std::move(*atom));
    } else {
      return;
    }
    if (sequence.children.empty()) return;
    PatternNode& last = sequence.children.back();
    last = parse_repetitions(std::move(last));
  }

  // Returns nullopt if there are only flags for the remainder of the group, which match nothing by
  // themselves.
  std::optional<PatternNode> parse_atom(int depth) {
    if (cursor_.consume("(")) return parse_group(depth);
    if (cursor_.consume("^") || cursor_.consume("\\A")) return assertion(PatternNode::Kind::kTextBegin);
    if (cursor_.consume("$") || cursor_.consume("\\z")) return assertion(PatternNode::Kind::kTextEnd);
    if (cursor_.consume(".")) return characters(any_character());
    if (cursor_.consume("[")) return characters(parse_bracket_expression(cursor_, flags_.case_mode));
    if (cursor_.peek() == '\\') return parse_escaped_character();
    return single_character(cursor_.next_code_point());
  }

  void parse_quoted(PatternNode& sequence) {
    const std::size_t length = std::min(cursor_.remaining().find("\\E"), cursor_.remaining().size());
    const std::size_t unquoted = cursor_.remaining().size() - length;
    while (cursor_.remaining().size() > unquoted)
      sequence.children.push_back(single_character(cursor_.next_code_point()));
    cursor_.consume("\\E");
  }

  PatternNode parse_escaped_character() {
    Escape escape = parse_escape(cursor_, flags_.case_mode);
    if (flags_.case_mode == CaseMode::kInsensitive && !escape.is_perl_class)
      add_other_cases_or_throw(escape.characters);
    return characters(std::move(escape.characters));
  }

  static PatternNode assertion(PatternNode::Kind kind) {
    PatternNode node;
    node.kind = kind;
    return node;
  }

  static PatternNode characters(CharacterSet set) {
    PatternNode node;
    node.kind = PatternNode::Kind::kCharacters;
    node.characters = std::move(set);
    return node;
  }

  [[nodiscard]] PatternNode single_character(std::uint32_t code_point) const {
    CharacterSet set = {{code_point, code_point}};
    if (flags_.case_mode == CaseMode::kInsensitive) add_other_cases_or_throw(set);
    return characters(std::move(set));
  }

  [[nodiscard]] CharacterSet any_character() const {
    if (flags_.dot_matches_newline) return {{0, kMaxCodePoint}};
    return {{0, '\n' - 1}, {'\n' + 1, kMaxCodePoint}};
  }

  // Called after "(". Returns nullopt if the parentheses contain only flags.
  std::optional<PatternNode> parse_group(int depth) {
    const Flags outer = flags_;
    if (cursor_.consume("?P<")) {
      const std::size_t name_length = cursor_.remaining().find('>');
      cursor_.advance(name_length == std::string_view::npos ? name_length : name_length + 1);
    } else if (cursor_.consume("?")) {
      const bool opens_group = parse_flags();
      if (!opens_group) return std::nullopt;
    }
    PatternNode group = parse_alternation(depth + 1);
    if (!cursor_.consume(")")) throw PatternError("')' expected");
    flags_ = outer;
    return group;
  }

  // Called after "(?". Returns true if a group follows, and false if the flags apply to the remainder of the
  // outer group.
  bool parse_flags() {
    bool is_set = true;
    while (!cursor_.at_end()) {
      const char flag = cursor_.next_byte();
      switch (flag) {
        case ':':
          return true;
        case ')':
          return false;
        case '-':
          is_set = false;
          break;
        case 'i':
          flags_.case_mode = is_set ? CaseMode::kInsensitive : CaseMode::kSensitive;
          break;
        case 's':
          flags_.dot_matches_newline = is_set;
          break;
        default:
          throw PatternError(std::string("the flag '") + flag + "' is not supported");
      }
    }
    throw PatternError("')' expected");
  }

  PatternNode parse_repetitions(PatternNode node) {
    while (const auto counts = parse_quantifier()) {
      cursor_.consume("?");  // a lazy quantifier matches the same texts
      PatternNode repetition;
      repetition.kind = PatternNode::Kind::kRepetition;
      repetition.min_count = counts->min_count;
      repetition.max_count = counts->max_count;
      repetition.children.push_back(std::move(node));
      node = std::move(repetition);
    }
    return node;
  }

  // Returns nullopt if no quantifier comes next.
  std::optional<CountRange> parse_quantifier() {
    if (cursor_.consume("*")) return CountRange{0, PatternNode::kUnbounded};
    if (cursor_.consume("+")) return CountRange{1, PatternNode::kUnbounded};
    if (cursor_.consume("?")) return CountRange{0, 1};
    return parse_counts();
  }

  // Parses {2}, {2,} or {2,5}. Returns nullopt for anything else in braces, which is literal text.
  std::optional<CountRange> parse_counts() {
    const PatternCursor begin = cursor_;
    if (!cursor_.consume("{")) return std::nullopt;
    CountRange counts;
    if (const auto min_count = parse_count()) {
      counts.min_count = *min_count;
      counts.max_count = *min_count;
      if (cursor_.consume(",")) counts.max_count = parse_count().value_or(PatternNode::kUnbounded);
      if (cursor_.consume("}")) return counts;
    }
    cursor_ = begin;
    return std::nullopt;
  }

  // Returns nullopt if no digit comes next.
  std::optional<int> parse_count() {
    if (!at_digit()) return std::nullopt;
    int count = 0;
    while (at_digit()) count = std::min(count * 10 + (cursor_.next_byte() - '0'), kMaxCount);
    return count;
  }

  [[nodiscard]] bool at_digit() const {
    return !cursor_.at_end() && std::isdigit(static_cast<unsigned char>(cursor_.peek())) != 0;
  }

  PatternCursor cursor_;
  Flags flags_;
};

}  // namespace

PatternNode parse_pattern(std::string_view pattern) { return PatternParser(pattern).parse(); }

}  // namespace dispatcher::expression
