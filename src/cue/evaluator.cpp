#include "cue/evaluator.hpp"

#include <re2/re2.h>

#include <utility>

namespace dispatcher::cue {

namespace {

// Maximum number of definitions in a chain of references. Bounds the recursion.
constexpr std::size_t kMaxReferenceDepth = 64;
// Maximum memory of one compiled regular expression, in bytes.
constexpr std::int64_t kMaxRegexBytes = 1 << 20;

KindSet kinds_of_type(const std::string& name) {
  static const std::map<std::string, KindSet> kinds = {{"bool", kBoolKind},     {"int", kIntKind},
                                                       {"float", kFloatKind},   {"number", kNumberKinds},
                                                       {"string", kStringKind}, {"null", kNullKind}};
  return kinds.at(name);
}

// Returns the kinds of scalars that can satisfy a bound.
KindSet kinds_of_bound(BoundOperator bound_operator, const Value& operand) {
  if (bound_operator == BoundOperator::kNotEqual) return kAllKinds;
  return (operand.kinds & kNumberKinds) != 0 ? kNumberKinds : operand.kinds;
}

std::shared_ptr<const re2::RE2> compile(const std::string& pattern) {
  re2::RE2::Options options;
  options.set_log_errors(false);
  options.set_max_mem(kMaxRegexBytes);
  return std::make_shared<const re2::RE2>(pattern, options);
}

}  // namespace

Evaluator::Evaluator(EvaluationContext& context, Expression file)
    : context_(context), unifier_(context), file_(std::move(file)) {
  std::vector<Expression::Field> fields;
  for (Expression::Field& field : file_.fields) {
    if (field.kind != Expression::Field::Kind::kDefinition) {
      fields.push_back(std::move(field));
      continue;
    }
    if (definitions_.try_emplace(field.label, std::move(field.value.front())).second) continue;
    const EvaluationContext::PathElement element(context_, field.label);
    context_.report(field.position, "defined twice");
  }
  file_.fields = std::move(fields);
}

ValuePtr Evaluator::evaluate_file() {
  for (const auto& [name, expression] : definitions_) evaluate_reference(name, expression.position);
  return evaluate(file_, Openness::kOpen);
}

ValuePtr Evaluator::evaluate_definition(const std::string& name) { return evaluate_reference(name, {}); }

ValuePtr Evaluator::evaluate(const Expression& expression, Openness openness) {
  context_.count_step(expression.position);
  switch (expression.kind) {
    case ExpressionKind::kLiteral:
      return make_scalar_value(expression.position, expression.literal);
    case ExpressionKind::kType:
      return make_value(expression.position, kinds_of_type(expression.name));
    case ExpressionKind::kTop:
      return make_value(expression.position, kAllKinds);
    case ExpressionKind::kBottom:
      return make_value(expression.position, 0);
    case ExpressionKind::kReference:
      return evaluate_reference(expression.name, expression.position);
    case ExpressionKind::kBound:
      return evaluate_bound(expression);
    case ExpressionKind::kConjunction:
      return evaluate_conjunction(expression, openness);
    case ExpressionKind::kDisjunction:
      return evaluate_disjunction(expression, openness);
    case ExpressionKind::kDefault:
      context_.report(expression.position, "'*' is allowed only before one of several alternatives");
      return nullptr;
    case ExpressionKind::kStruct:
      return evaluate_struct(expression, openness);
    case ExpressionKind::kList:
      return evaluate_list(expression, openness);
  }
  return nullptr;
}

ValuePtr Evaluator::evaluate_reference(const std::string& name, Position position) {
  const auto definition = definitions_.find(name);
  if (definition == definitions_.end()) {
    context_.report(position, "'" + name + "' is not defined in this file");
    return nullptr;
  }
  if (const auto known = evaluated_.find(name); known != evaluated_.end()) return known->second;
  if (!evaluating_.insert(name).second) {
    context_.report(position, "'" + name + "' refers to itself");
    return nullptr;
  }
  if (evaluating_.size() > kMaxReferenceDepth) {
    context_.report(position,
                    "more than " + std::to_string(kMaxReferenceDepth) + " definitions refer to one another");
    throw LimitReached{};
  }
  const EvaluationContext::DefinitionPath path(context_, name);
  const Openness openness = name.starts_with('#') ? Openness::kClosed : Openness::kOpen;
  ValuePtr value = evaluate(definition->second, openness);
  evaluating_.erase(name);
  evaluated_[name] = value;
  return value;
}

ValuePtr Evaluator::evaluate_bound(const Expression& expression) {
  const Expression& operand_expression = expression.children.front();
  const ValuePtr operand = evaluate(operand_expression, Openness::kOpen);
  Bound bound{expression.bound_operator, operand_expression.literal, nullptr};
  if (is_match(bound.bound_operator)) {
    bound.regex = compile(std::get<std::string>(bound.operand));
    if (!bound.regex->ok()) {
      context_.report(operand_expression.position, "not a regular expression: " + bound.regex->error());
      return nullptr;
    }
  }
  const auto value = make_value(expression.position, kinds_of_bound(bound.bound_operator, *operand));
  value->bounds.push_back(std::move(bound));
  return value;
}

ValuePtr Evaluator::evaluate_conjunction(const Expression& expression, Openness openness) {
  ValuePtr unified;
  for (const Expression& child : expression.children) {
    ValuePtr value = evaluate(child, openness);
    if (value == nullptr) return nullptr;
    unified = unified == nullptr ? std::move(value) : unifier_.unify(unified, value);
    if (unified == nullptr) return nullptr;
  }
  return unified;
}

ValuePtr Evaluator::evaluate_disjunction(const Expression& expression, Openness openness) {
  const auto disjunction = make_value(expression.position, 0);
  for (const Expression& child : expression.children) {
    const bool is_default = child.kind == ExpressionKind::kDefault;
    const ValuePtr value = evaluate(is_default ? child.children.front() : child, openness);
    if (value == nullptr) return nullptr;
    disjunction->kinds |= value->kinds;
    if (value->disjuncts.empty()) disjunction->disjuncts.push_back({value, is_default});
    // The disjuncts of a nested disjunction become those of this one.
    for (const Value::Disjunct& nested : value->disjuncts)
      disjunction->disjuncts.push_back({nested.value, is_default || nested.is_default});
  }
  if (disjunction->disjuncts.size() > kMaxDisjuncts) {
    context_.report(expression.position, "more than " + std::to_string(kMaxDisjuncts) + " alternatives");
    return nullptr;
  }
  return disjunction;
}

ValuePtr Evaluator::evaluate_list(const Expression& expression, Openness openness) {
  const auto list = make_value(expression.position, kListKind);
  bool is_valid = true;
  for (std::size_t i = 0; i < expression.children.size(); ++i) {
    const EvaluationContext::PathElement element(context_, i);
    const ValuePtr item = evaluate(expression.children[i], openness);
    is_valid = is_valid && item != nullptr;
    const bool is_last = i + 1 == expression.children.size();
    if (expression.is_open && is_last) {
      list->further_items = item;
    } else {
      list->items.push_back(item);
    }
  }
  if (!is_valid) return nullptr;
  return list;
}

ValuePtr Evaluator::evaluate_struct(const Expression& expression, Openness openness) {
  const auto structure = make_value(expression.position, kStructKind);
  structure->is_closed = openness == Openness::kClosed && !expression.is_open;
  FieldIndex index;
  bool is_valid = true;
  for (const Expression::Field& field : expression.fields) {
    if (!evaluate_field(field, openness, *structure, index)) is_valid = false;
  }
  if (!is_valid) return nullptr;
  if (structure->patterns.empty()) return structure;
  return apply_own_patterns(*structure);
}

// Adds a field to the struct. Returns false if the field is invalid.
bool Evaluator::evaluate_field(const Expression::Field& field, Openness openness, Value& structure,
                               FieldIndex& index) {
  using Kind = Expression::Field::Kind;
  const bool is_pattern = field.kind == Kind::kPattern;
  const EvaluationContext::PathElement element(context_, is_pattern ? "[string]" : field.label);
  if (field.kind == Kind::kDefinition) {
    context_.report(field.position, "definitions are allowed only at the top level of the file");
    return false;
  }
  const ValuePtr value = evaluate(field.value.front(), openness);
  if (value == nullptr) return false;
  if (is_pattern) {
    structure.patterns.push_back(value);
    return true;
  }
  return add_field(field, value, structure, index);
}

// Adds the field, or unifies it with an existing field of the same label. Returns false if that fails.
bool Evaluator::add_field(const Expression::Field& field, const ValuePtr& value, Value& structure,
                          FieldIndex& index) {
  const bool is_optional = field.kind == Expression::Field::Kind::kOptional;
  const auto [it, is_new] = index.emplace(field.label, structure.fields.size());
  if (is_new) {
    structure.fields.push_back({field.label, is_optional, field.position, value});
    return true;
  }
  Value::Field& existing = structure.fields[it->second];
  existing.is_optional = existing.is_optional && is_optional;
  const ValuePtr unified = unifier_.unify(existing.value, value);
  if (unified == nullptr) return false;
  existing.value = unified;
  return true;
}

// Unifies the struct's own fields with its patterns, which constrain them as well.
ValuePtr Evaluator::apply_own_patterns(const Value& structure) {
  const auto patterns = make_value(structure.position, kStructKind);
  patterns->patterns = structure.patterns;
  patterns->is_closed = structure.is_closed;
  const auto fields = std::make_shared<Value>(structure);
  fields->patterns.clear();
  fields->is_closed = false;
  return unifier_.unify(patterns, fields);
}

}  // namespace dispatcher::cue
