// Finds the line and column of an offset in a text.
#ifndef DISPATCHER_CUE_LINE_INDEX_HPP_
#define DISPATCHER_CUE_LINE_INDEX_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "cue/source.hpp"

namespace dispatcher::cue {

/// The line starts of a text. Does not refer to the text after construction.
class LineIndex {
 public:
  explicit LineIndex(std::string_view text) {
    for (std::size_t offset = 0; offset < text.size(); ++offset) {
      if (text[offset] == '\n') line_starts_.push_back(offset + 1);
    }
  }

  /// Returns the position of the byte at `offset`, which may be the end of the text.
  [[nodiscard]] Position position(std::size_t offset) const {
    const auto line = std::upper_bound(line_starts_.begin(), line_starts_.end(), offset) - 1;
    return {static_cast<std::uint32_t>(line - line_starts_.begin() + 1),
            static_cast<std::uint32_t>(offset - *line + 1)};
  }

 private:
  std::vector<std::size_t> line_starts_{0};
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_LINE_INDEX_HPP_
