// What a file may say, written in the same subset of CUE, and the one way to read a file by it.
#ifndef DISPATCHER_CUE_SCHEMA_HPP_
#define DISPATCHER_CUE_SCHEMA_HPP_

#include <memory>
#include <string>
#include <string_view>

#include "cue/data.hpp"
#include "cue/syntax.hpp"

namespace dispatcher::cue {

struct Value;

class Schema {
 public:
  // `cue`: definitions; `root`: the one that a whole file must meet. Throws Errors where it is bad itself.
  Schema(std::string_view cue, const std::string& root);
  // The file unified with the schema: each field present, checked and in its default where the file says
  // nothing. Throws Errors with all that is wrong. Depth and work are bounded, whatever the file holds.
  [[nodiscard]] Data read(const File& file) const;

 private:
  std::shared_ptr<const Value> root_;
};

// A fault that shows only once a record is known to be well-formed, such as a name that is nowhere declared.
Problem problem(const Data& at, std::string what);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_SCHEMA_HPP_
