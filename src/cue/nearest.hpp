// Suggests the name that was probably meant, for errors about an unknown name.
#ifndef DISPATCHER_CUE_NEAREST_HPP_
#define DISPATCHER_CUE_NEAREST_HPP_

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dispatcher::cue {

/// Returns the Levenshtein distance: the number of bytes that must be changed, added or removed to turn one
/// text into the other.
[[nodiscard]] inline std::size_t edit_distance(std::string_view left, std::string_view right) {
  // One row of the matrix of distances between the prefixes of both texts. `diagonal` is the value of the
  // previous row and column.
  std::vector<std::size_t> row(right.size() + 1);
  for (std::size_t j = 0; j <= right.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, substitution}));
    }
  }
  return row.back();
}

/// Returns "; 'name' is known" for the name that is most similar to `given`, or an empty string if none is
/// similar. `name_of` returns an element's name as std::string_view. The work is bounded.
template <class Names, class NameOf>
[[nodiscard]] std::string nearest(std::string_view given, const Names& names, NameOf name_of) {
  constexpr std::size_t kMaxLength = 64;   // in bytes, of `given`; bounds the work of one comparison
  constexpr std::size_t kMaxDistance = 2;  // one or two typing errors; beyond that it is another word
  constexpr std::size_t kMaxNames = 1000;  // bounds the number of comparisons
  if (given.size() > kMaxLength) return {};
  std::size_t minimum = kMaxDistance + 1;
  std::string_view best;
  std::size_t compared = 0;
  for (const auto& element : names) {
    ++compared;
    if (compared > kMaxNames) break;
    const std::string_view name = name_of(element);
    const std::size_t distance = edit_distance(given, name);
    if (distance >= minimum) continue;
    minimum = distance;
    best = name;
  }
  if (best.empty()) return {};
  return "; '" + std::string(best) + "' is known";
}

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_NEAREST_HPP_
