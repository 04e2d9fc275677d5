// Converts a value into plain data: applies defaults and reports values that are not concrete.
#ifndef DISPATCHER_CUE_DATA_BUILDER_HPP_
#define DISPATCHER_CUE_DATA_BUILDER_HPP_

#include <cstddef>

#include "cue/data.hpp"
#include "cue/evaluation_context.hpp"
#include "cue/value.hpp"

namespace dispatcher::cue {

/// Builds the data of one file. Refers to the context, which must outlive it.
class DataBuilder {
 public:
  explicit DataBuilder(EvaluationContext& context) : context_(context) {}

  /// Returns the data of a value, which must have been unified with the schema. A value that is not concrete
  /// is reported and is null in the result. Throws LimitReached if there are too many values.
  [[nodiscard]] Data build(const ValuePtr& value);

 private:
  // `enclosing`: position of the enclosing struct or list in the file, used for problems with values that the
  // file leaves out.
  Data build(const Value& value, Position enclosing);
  Data build_default(const Value& value, Position enclosing);
  Data build_struct(const Value& value, Position enclosing);
  Data build_list(const Value& value, Position enclosing);

  EvaluationContext& context_;
  std::size_t values_ = 0;
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_DATA_BUILDER_HPP_
