#include "cue/data_builder.hpp"

#include <string>
#include <utility>
#include <vector>

namespace dispatcher::cue {

namespace {

// Maximum number of values in the data of one file. References can multiply values exponentially.
constexpr std::size_t kMaxValues = 500'000;

Position position_or(const Value& value, Position enclosing) {
  return value.position.in_file() ? value.position : enclosing;
}

}  // namespace

Data DataBuilder::build(const ValuePtr& value) { return build(*value, {1, 1}); }

Data DataBuilder::build(const Value& value, Position enclosing) {
  ++values_;
  if (values_ > kMaxValues)
    context_.stop(enclosing, "contains more than " + std::to_string(kMaxValues) + " values");
  if (!value.disjuncts.empty()) return build_default(value, enclosing);
  if (value.scalar) return {value.position, context_.path(), *value.scalar};
  if (value.kinds == kStructKind && value.bounds.empty()) return build_struct(value, enclosing);
  if (value.kinds == kListKind && value.bounds.empty()) return build_list(value, enclosing);
  const char* const prefix = value.position.in_file() ? "incomplete value: " : "missing: expected ";
  context_.report(position_or(value, enclosing), prefix + describe(value));
  return {};
}

// Builds the only disjunct, or the only disjunct that is marked as default.
Data DataBuilder::build_default(const Value& value, Position enclosing) {
  const bool only_defaults = has_default(value.disjuncts);
  std::vector<ValuePtr> candidates;
  for (const Value::Disjunct& disjunct : value.disjuncts) {
    if (disjunct.is_default || !only_defaults) candidates.push_back(disjunct.value);
  }
  if (candidates.size() != 1) {
    context_.report(position_or(value, enclosing), "missing: expected " + describe(value));
    return {};
  }
  return build(*candidates.front(), enclosing);
}

Data DataBuilder::build_struct(const Value& value, Position enclosing) {
  Data::Fields fields;
  for (const Value::Field& field : value.fields) {
    if (field.is_optional) continue;
    const EvaluationContext::PathElement element(context_, field.label);
    fields.emplace_back(field.label, build(*field.value, position_or(value, enclosing)));
  }
  return {value.position, context_.path(), std::move(fields)};
}

Data DataBuilder::build_list(const Value& value, Position enclosing) {
  Data::Items items;
  for (std::size_t i = 0; i < value.items.size(); ++i) {
    const EvaluationContext::PathElement element(context_, i);
    items.push_back(build(*value.items[i], position_or(value, enclosing)));
  }
  return {value.position, context_.path(), std::move(items)};
}

}  // namespace dispatcher::cue
