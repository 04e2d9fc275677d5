// A configuration file's text and positions in it.
#ifndef DISPATCHER_CUE_SOURCE_HPP_
#define DISPATCHER_CUE_SOURCE_HPP_

#include <cstddef>
#include <cstdint>
#include <string>

namespace dispatcher::cue {

inline constexpr std::size_t kMaxBytes = 8U << 20U;  // size limit of one file; bounds the memory of a reload

/// A position in a file. Lines and columns count from 1, columns in bytes. Line 0 stands for a position in
/// the program's own schema rather than in the file.
struct Position {
  std::uint32_t line = 0;
  std::uint32_t column = 0;
  [[nodiscard]] bool in_file() const { return line != 0; }
};

/// A configuration file that has been loaded into memory.
struct File {
  std::string name;  // as shown in error messages
  std::string text;
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_SOURCE_HPP_
