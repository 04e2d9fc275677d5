// The name that was probably meant, for errors about one that is not known.
#ifndef DISPATCHER_CUE_NEAREST_HPP_
#define DISPATCHER_CUE_NEAREST_HPP_

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dispatcher::cue {

// How many letters differ.
inline std::size_t edit_distance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  for (std::size_t j = 0; j <= right.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t change = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, change}));
    }
  }
  return row.back();
}

// "; 'x' is known" for the nearest of the names, where one is near; `name_of` gives an element's.
template <class Names, class NameOf>
std::string nearest(std::string_view given, const Names& names, NameOf name_of) {
  constexpr std::size_t kMaxLength = 64, kMaxApart = 2, kMaxNames = 1000;  // what it may take is bounded
  if (given.size() > kMaxLength) return {};
  std::size_t minimum = kMaxApart + 1;
  std::string_view best;
  std::size_t seen = 0;
  for (const auto& one : names) {
    if (++seen > kMaxNames) break;
    const std::string_view name = name_of(one);
    if (const std::size_t apart = edit_distance(given, name); apart < minimum) {
      minimum = apart;
      best = name;
    }
  }
  return best.empty() ? std::string() : "; '" + std::string(best) + "' is known";
}

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_NEAREST_HPP_
