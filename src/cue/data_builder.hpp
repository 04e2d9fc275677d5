// Turns a value into plain data: applies the defaults, and reports what is not concrete.
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

  /// The data of a value, which must have been unified with the schema. What is not concrete is reported and
  /// null in the result. Throws LimitReached where there are too many values.
  [[nodiscard]] Data build(const ValuePtr& value);

 private:
  // `enclosing`: where the file has the struct or list around the value, for problems of what it leaves out.
  Data build(const Value& value, Position enclosing);
  Data build_default(const Value& value, Position enclosing);
  Data build_struct(const Value& value, Position enclosing);
  Data build_list(const Value& value, Position enclosing);

  EvaluationContext& context_;
  std::size_t values_ = 0;
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_DATA_BUILDER_HPP_
