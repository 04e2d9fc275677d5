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

// The union of its ranges, which may overlap and are in any order until normalized() is applied.
using CharacterSet = std::vector<CodePointRange>;

// The same set as sorted ranges that neither overlap nor touch.
[[nodiscard]] CharacterSet normalized(CharacterSet set);

// All code points that `set` does not contain, normalized.
[[nodiscard]] CharacterSet complement(CharacterSet set);

// Adds the other case of each letter in `set`. Only the letters of ASCII are known, and the two characters
// beyond ASCII that fold to one of them: U+017F (long s) and U+212A (the Kelvin sign).
void add_other_cases(CharacterSet& set);

// As add_other_cases(). Throws PatternError where the set contains letters beyond ASCII, whose cases are not
// known.
void add_other_cases_or_throw(CharacterSet& set);

// The set of \d, \s or \w, named by its lower-case letter. Only ASCII, as in RE2.
[[nodiscard]] const CharacterSet& perl_class(char letter);

// The set of [:name:]; nullopt: there is no such class.
[[nodiscard]] std::optional<CharacterSet> posix_class(std::string_view name);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_CHARACTER_SET_HPP_
