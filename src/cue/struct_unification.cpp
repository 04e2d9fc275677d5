// Unification of two structs.
#include <string_view>
#include <unordered_map>
#include <utility>

#include "cue/nearest.hpp"
#include "cue/unifier.hpp"

namespace dispatcher::cue {

namespace {

using FieldIndex = std::unordered_map<std::string_view, const Value::Field*>;

// Returns the fields of a struct by label. The index refers to the struct, which must outlive it.
FieldIndex index_fields(const Value& structure) {
  FieldIndex index;
  for (const Value::Field& field : structure.fields) index.emplace(field.label, &field);
  return index;
}

bool allows_further_fields(const Value& structure) {
  return !structure.is_closed || !structure.patterns.empty();
}

std::string unknown_field_message(const Value& structure, std::string_view label) {
  const auto label_of = [](const Value::Field& field) { return std::string_view(field.label); };
  return "unknown field" + nearest(label, structure.fields, label_of);
}

// The unification of one pair of structs. Continues after a problem, so that all problems are reported.
class StructUnification {
 public:
  StructUnification(Unifier& unifier, EvaluationContext& context, const ValuePtr& left, const ValuePtr& right)
      : unifier_(unifier),
        context_(context),
        left_(*left),
        right_(*right),
        unified_(make_value(file_position(left, right), kStructKind)) {
    unified_->is_closed = left_.is_closed || right_.is_closed;
    unified_->patterns = left_.patterns;
    unified_->patterns.insert(unified_->patterns.end(), right_.patterns.begin(), right_.patterns.end());
  }

  // Returns the unified struct, or null if a problem was reported.
  ValuePtr run() {
    const FieldIndex right_fields = index_fields(right_);
    for (const Value::Field& field : left_.fields) {
      const auto it = right_fields.find(field.label);
      if (it == right_fields.end()) {
        add_unshared_field(field, right_);
      } else {
        add_shared_field(field, *it->second);
      }
    }
    const FieldIndex left_fields = index_fields(left_);
    for (const Value::Field& field : right_.fields) {
      if (!left_fields.contains(field.label)) add_unshared_field(field, left_);
    }
    if (!is_valid_) return nullptr;
    return unified_;
  }

 private:
  // Adds a field that only one of the structs has, if the other struct allows it.
  void add_unshared_field(const Value::Field& field, const Value& other) {
    const EvaluationContext::PathElement element(context_, field.label);
    if (allows_further_fields(other)) {
      add_field(field);
      return;
    }
    if (field.is_optional) return;
    if (field.position.in_file()) {
      context_.report(field.position, unknown_field_message(other, field.label));
    } else {
      context_.report(other.position, "a definition that does not end in '...' leaves out the field");
    }
    is_valid_ = false;
  }

  void add_shared_field(const Value::Field& left, const Value::Field& right) {
    const EvaluationContext::PathElement element(context_, left.label);
    const Position position = right.position.in_file() ? right.position : left.position;
    const bool is_optional = left.is_optional && right.is_optional;
    ValuePtr value = unify_field(left.value, right.value, is_optional);
    if (value == nullptr && !is_optional) {
      is_valid_ = false;
      return;
    }
    if (value == nullptr) value = make_value(right.position, 0);
    add_field({left.label, is_optional, position, value});
  }

  // Applies the patterns of both structs to the value of a field and adds the field.
  void add_field(Value::Field field) {
    for (const ValuePtr& pattern : unified_->patterns) {
      ValuePtr constrained = unify_field(pattern, field.value, field.is_optional);
      if (constrained == nullptr && !field.is_optional) is_valid_ = false;
      if (constrained == nullptr) constrained = make_value(field.position, 0);
      field.value = std::move(constrained);
    }
    unified_->fields.push_back(std::move(field));
  }

  // An optional field without a possible value is not a problem; it means that the field must be absent.
  ValuePtr unify_field(const ValuePtr& expected, const ValuePtr& found, bool is_optional) {
    return is_optional ? unifier_.try_unify(expected, found) : unifier_.unify(expected, found);
  }

  Unifier& unifier_;
  EvaluationContext& context_;
  const Value& left_;
  const Value& right_;
  std::shared_ptr<Value> unified_;
  bool is_valid_ = true;
};

}  // namespace

ValuePtr unify_structs(Unifier& unifier, EvaluationContext& context, const ValuePtr& left,
                       const ValuePtr& right) {
  return StructUnification(unifier, context, left, right).run();
}

}  // namespace dispatcher::cue
