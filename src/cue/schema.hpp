// A schema of configuration files, written in the same subset of CUE as the files that are read with it.
#ifndef DISPATCHER_CUE_SCHEMA_HPP_
#define DISPATCHER_CUE_SCHEMA_HPP_

#include <memory>
#include <string>
#include <string_view>

#include "cue/data.hpp"
#include "cue/syntax.hpp"

namespace dispatcher::cue {

struct Value;

/// Defines what a file may contain, and its defaults. Immutable and thread-safe.
class Schema {
 public:
  /// `cue` contains the definitions. `root` is the name of the definition that a complete file must satisfy.
  /// Throws Errors if the schema itself is invalid.
  Schema(std::string_view cue, const std::string& root);

  /// Returns the file's data, unified with the schema. Each field that is not optional is present and
  /// checked, and has the schema's default if the file leaves it out. Throws Errors with all problems in the
  /// order of the file, up to a limit. Nesting depth and work are bounded, whatever the file contains.
  [[nodiscard]] Data read(const File& file) const;

 private:
  std::shared_ptr<const Value> root_;
};

/// Returns a problem at a value of valid data, for errors that no schema can detect, such as an undeclared
/// name.
[[nodiscard]] Problem problem(const Data& at, std::string what);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_SCHEMA_HPP_
