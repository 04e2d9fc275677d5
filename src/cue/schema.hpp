// A schema of configuration files, written in the same subset of CUE, and reading of files against it.
#ifndef DISPATCHER_CUE_SCHEMA_HPP_
#define DISPATCHER_CUE_SCHEMA_HPP_

#include <memory>
#include <string>
#include <string_view>

#include "cue/data.hpp"
#include "cue/syntax.hpp"

namespace dispatcher::cue {

struct Value;

/// What a file may contain, and its defaults. Immutable; may be used by several threads at once.
class Schema {
 public:
  /// `cue`: definitions; `root`: the name of the definition that a complete file must satisfy. Throws Errors
  /// where the schema itself is invalid.
  Schema(std::string_view cue, const std::string& root);

  /// The file's data, unified with the schema: each field that is not optional is present, checked, and the
  /// schema's default where the file leaves it out. Throws Errors with all problems in the
  /// order of the file, up to a limit. Nesting depth and work are bounded, whatever the file contains.
  [[nodiscard]] Data read(const File& file) const;

 private:
  std::shared_ptr<const Value> root_;
};

/// A problem at a value of well-formed data, for what no schema can check, such as an undeclared name.
[[nodiscard]] Problem problem(const Data& at, std::string what);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_SCHEMA_HPP_
