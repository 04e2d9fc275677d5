#include "expression/character_set.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "expression/pattern_error.hpp"

namespace dispatcher::expression {

namespace {

constexpr std::uint32_t kMaxAscii = 0x7F;
constexpr std::uint32_t kLongS = 0x17F;        // folds to s
constexpr std::uint32_t kKelvinSign = 0x212A;  // folds to k
constexpr std::uint32_t kCaseDistance = 'a' - 'A';

bool contains(const CharacterSet& set, std::uint32_t code_point) {
  return std::any_of(set.begin(), set.end(), [&](const CodePointRange& range) {
    return range.low <= code_point && code_point <= range.high;
  });
}

void add(CharacterSet& set, std::uint32_t code_point) { set.push_back({code_point, code_point}); }

void add_both_cases(CharacterSet& set, std::uint32_t lower) {
  add(set, lower);
  add(set, lower - kCaseDistance);
}

bool contains_either_case(const CharacterSet& set, std::uint32_t lower) {
  return contains(set, lower) || contains(set, lower - kCaseDistance);
}

}  // namespace

CharacterSet normalized(CharacterSet set) {
  std::sort(set.begin(), set.end(),
            [](const CodePointRange& left, const CodePointRange& right) { return left.low < right.low; });
  CharacterSet merged;
  for (const CodePointRange& range : set) {
    if (!merged.empty() && range.low <= merged.back().high + 1) {
      merged.back().high = std::max(merged.back().high, range.high);
    } else {
      merged.push_back(range);
    }
  }
  return merged;
}

CharacterSet complement(CharacterSet set) {
  CharacterSet result;
  std::uint32_t next = 0;
  for (const CodePointRange& range : normalized(std::move(set))) {
    if (range.low > next) result.push_back({next, range.low - 1});
    next = range.high + 1;
  }
  if (next <= kMaxCodePoint) result.push_back({next, kMaxCodePoint});
  return result;
}

void add_other_cases(CharacterSet& set) {
  const CharacterSet given = set;
  for (std::uint32_t lower = 'a'; lower <= 'z'; ++lower) {
    if (contains_either_case(given, lower)) add_both_cases(set, lower);
  }
  constexpr std::pair<std::uint32_t, std::uint32_t> kFoldToAscii[] = {{'k', kKelvinSign}, {'s', kLongS}};
  for (const auto& [lower, other] : kFoldToAscii) {
    if (contains_either_case(given, lower)) add(set, other);
    if (contains(given, other)) add_both_cases(set, lower);
  }
}

void add_other_cases_or_throw(CharacterSet& set) {
  add_other_cases(set);
  for (const CodePointRange& range : set) {
    // A range up to the last code point comes from a complement, which contains both cases of nearly all
    // letters. Finding the other cases of single letters would require Unicode's tables.
    const bool is_known = range.high <= kMaxAscii || range.low == kKelvinSign || range.low == kLongS ||
                          range.high == kMaxCodePoint;
    if (!is_known) throw PatternError("(?i) is supported for ASCII letters only");
  }
}

const CharacterSet& perl_class(char letter) {
  static const CharacterSet digits = {{'0', '9'}};
  static const CharacterSet spaces = {{'\t', '\n'}, {'\f', '\r'}, {' ', ' '}};
  static const CharacterSet word_characters = {{'0', '9'}, {'A', 'Z'}, {'_', '_'}, {'a', 'z'}};
  switch (letter) {
    case 'd':
      return digits;
    case 's':
      return spaces;
    default:
      return word_characters;
  }
}

std::optional<CharacterSet> posix_class(std::string_view name) {
  static const std::map<std::string_view, CharacterSet> classes = {
      {"alnum", {{'0', '9'}, {'A', 'Z'}, {'a', 'z'}}},
      {"alpha", {{'A', 'Z'}, {'a', 'z'}}},
      {"ascii", {{0, kMaxAscii}}},
      {"blank", {{'\t', '\t'}, {' ', ' '}}},
      {"cntrl", {{0, 31}, {127, 127}}},
      {"digit", {{'0', '9'}}},
      {"graph", {{'!', '~'}}},
      {"lower", {{'a', 'z'}}},
      {"print", {{' ', '~'}}},
      {"punct", {{'!', '/'}, {':', '@'}, {'[', '`'}, {'{', '~'}}},
      {"space", {{'\t', '\r'}, {' ', ' '}}},
      {"upper", {{'A', 'Z'}}},
      {"word", {{'0', '9'}, {'A', 'Z'}, {'_', '_'}, {'a', 'z'}}},
      {"xdigit", {{'0', '9'}, {'A', 'F'}, {'a', 'f'}}}};
  const auto it = classes.find(name);
  if (it == classes.end()) return std::nullopt;
  return it->second;
}

}  // namespace dispatcher::expression
