// Sets of Unicode code points, as character classes of patterns denote them.
#ifndef DISPATCHER_EXPRESSION_CHARACTER_SET_HPP_
#define DISPATCHER_EXPRESSION_CHARACTER_SET_HPP_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace dispatcher::expression {

inline constexpr std::uint32_t kMaxCodePoint = 0x10FFFF;

// The code points from `low` to `high`, both included.
struct CodePointRange {
  std::uint32_t low = 0;
  std::uint32_t high = 0;
};

// A set of code points: the union of its ranges, which may overlap and are in any order until normalized() is
// applied.
using CharacterSet = std::vector<CodePointRange>;

// Returns the same set as sorted ranges that neither overlap nor touch.
[[nodiscard]] CharacterSet normalized(CharacterSet set);

// Returns all code points that `set` does not contain, normalized.
[[nodiscard]] CharacterSet complement(CharacterSet set);

// Adds the other case of each letter in `set`. Handles only the letters of ASCII and the two characters
// beyond ASCII that fold to one of them: U+017F (long s) and U+212A (the Kelvin sign).
void add_other_cases(CharacterSet& set);

// Does the same as add_other_cases(), but throws PatternError if the set contains letters beyond ASCII, whose
// other cases are not known.
void add_other_cases_or_throw(CharacterSet& set);

// Returns the set of \d, \s or \w, selected by its lower-case letter. Contains only ASCII characters, as in
// RE2.
[[nodiscard]] const CharacterSet& perl_class(char letter);

// Returns the set of [:name:], or nullopt if there is no such class.
[[nodiscard]] std::optional<CharacterSet> posix_class(std::string_view name);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_CHARACTER_SET_HPP_
