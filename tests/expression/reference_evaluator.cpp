#include "reference_evaluator.hpp"

#include <re2/re2.h>

#include <cmath>
#include <cstdint>

namespace dispatcher::testing {

using namespace expression;

namespace {

__extension__ using Int128 = __int128;

Value int_or_overflow(Int128 number) {
  if (number > INT64_MAX || number < INT64_MIN) return Value::of(EvaluationError::kOverflow);
  return Value::of(static_cast<std::int64_t>(number));
}

Value literal_value(const Node& literal) {
  if (literal.type.kind == Kind::kBool) return Value::of(literal.integer != 0);
  if (literal.type.kind == Kind::kInt) return Value::of(literal.integer);
  if (literal.type.kind == Kind::kDouble) return Value::of(literal.real);
  return Value::of(std::string_view(literal.text));
}

bool less(const Value& left, const Value& right) {
  if (left.kind == Kind::kInt) return left.integer < right.integer;
  if (left.kind == Kind::kDouble) return left.real < right.real;
  return left.text() < right.text();
}

bool less_or_equal(const Value& left, const Value& right) {
  if (left.kind == Kind::kInt) return left.integer <= right.integer;
  if (left.kind == Kind::kDouble) return left.real <= right.real;
  return left.text() <= right.text();
}

Value to_int(const Value& value) {
  if (value.kind != Kind::kDouble) return value;
  const bool fits =
      std::isfinite(value.real) && value.real < std::ldexp(1, 63) && value.real >= -std::ldexp(1, 63);
  return fits ? Value::of(static_cast<std::int64_t>(value.real)) : Value::of(EvaluationError::kOverflow);
}

Value size_of(std::string_view text) {
  std::int64_t count = 0;
  for (const char byte : text) count += (byte & 0xC0) != 0x80 ? 1 : 0;
  return Value::of(count);
}

}  // namespace

Value ReferenceEvaluator::evaluate(const Node& node) {
  switch (node.op) {
    case Op::kLiteral:
      return literal_value(node);
    case Op::kField:
      return fields_[static_cast<std::size_t>(node.integer)];
    case Op::kPresent:
      return Value::of(!fields_[static_cast<std::size_t>(node.integer)].failed());
    case Op::kAnd:
    case Op::kOr:
      return evaluate_logic(node);
    case Op::kIf:
      return evaluate_conditional(node);
    case Op::kIn:
    case Op::kIndex:
      return evaluate_lookup(node);
    default:
      break;
  }
  Values operands;
  for (const Node& child : node.children) operands.push_back(evaluate(child));
  for (const Value& operand : operands) {
    if (operand.failed()) return operand;
  }
  return node.op == Op::kCall ? evaluate_call(node, operands) : evaluate_operator(node, operands);
}

Value ReferenceEvaluator::own(std::string text) {
  created_strings_.push_back(std::move(text));
  return Value::of(std::string_view(created_strings_.back()));
}

Value ReferenceEvaluator::evaluate_logic(const Node& node) {
  const bool decides = node.op == Op::kOr;
  std::optional<Value> first_error;
  for (const Node& child : node.children) {
    const Value value = evaluate(child);
    if (value.is(decides)) return value;
    if (value.failed() && !first_error) first_error = value;
  }
  return first_error.value_or(Value::of(!decides));
}

Value ReferenceEvaluator::evaluate_conditional(const Node& node) {
  const Value condition = evaluate(node.children[0]);
  if (condition.failed()) return condition;
  return evaluate(node.children[condition.boolean ? 1 : 2]);
}

Value ReferenceEvaluator::evaluate_lookup(const Node& node) {
  const Value key = evaluate(node.children[node.op == Op::kIn ? 0 : 1]);
  return key.failed() ? key : lookup(node, key);
}

Value ReferenceEvaluator::lookup(const Node& node, const Value& key) {
  const bool is_membership = node.op == Op::kIn;
  const Node& collection = node.children[is_membership ? 1 : 0];
  const bool is_map = collection.op == Op::kMap;
  if (!is_membership && !is_map) {
    const bool is_inside =
        key.integer >= 0 && key.integer < static_cast<std::int64_t>(collection.children.size());
    if (!is_inside) return Value::of(EvaluationError::kIndexOutOfRange);
    return literal_value(collection.children[static_cast<std::size_t>(key.integer)]);
  }
  const std::size_t step = is_map ? 2 : 1;
  for (std::size_t i = 0; i < collection.children.size(); i += step) {
    if (!same(literal_value(collection.children[i]), key)) continue;
    return is_membership ? Value::of(true) : literal_value(collection.children[i + 1]);
  }
  return is_membership ? Value::of(false) : Value::of(EvaluationError::kNoSuchKey);
}

Value ReferenceEvaluator::evaluate_operator(const Node& node, const Values& operands) {
  switch (node.op) {
    case Op::kNot:
      return Value::of(!operands[0].boolean);
    case Op::kNegate:
      if (operands[0].kind == Kind::kDouble) return Value::of(-operands[0].real);
      return int_or_overflow(-static_cast<Int128>(operands[0].integer));
    case Op::kEqual:
      return Value::of(same(operands[0], operands[1]));
    case Op::kUnequal:
      return Value::of(!same(operands[0], operands[1]));
    case Op::kLess:
      return Value::of(less(operands[0], operands[1]));
    case Op::kLessEqual:
      return Value::of(less_or_equal(operands[0], operands[1]));
    case Op::kGreater:
      return Value::of(less(operands[1], operands[0]));
    case Op::kGreaterEqual:
      return Value::of(less_or_equal(operands[1], operands[0]));
    default:
      return evaluate_arithmetic(node, operands);
  }
}

Value ReferenceEvaluator::evaluate_arithmetic(const Node& node, const Values& operands) {
  if (operands[0].kind == Kind::kString)
    return own(std::string(operands[0].text()) + std::string(operands[1].text()));
  const bool is_double = operands[0].kind == Kind::kDouble;
  const double left_real = operands[0].real;
  const double right_real = operands[1].real;
  const Int128 left = operands[0].integer;
  const Int128 right = operands[1].integer;
  switch (node.op) {
    case Op::kAdd:
      return is_double ? Value::of(left_real + right_real) : int_or_overflow(left + right);
    case Op::kSubtract:
      return is_double ? Value::of(left_real - right_real) : int_or_overflow(left - right);
    case Op::kMultiply:
      return is_double ? Value::of(left_real * right_real) : int_or_overflow(left * right);
    case Op::kDivide:
      if (is_double) return Value::of(left_real / right_real);
      return right == 0 ? Value::of(EvaluationError::kDivisionByZero) : int_or_overflow(left / right);
    default:
      if (right == 0) return Value::of(EvaluationError::kDivisionByZero);
      if (left == INT64_MIN && right == -1) return Value::of(EvaluationError::kOverflow);
      return int_or_overflow(left % right);
  }
}

Value ReferenceEvaluator::evaluate_call(const Node& node, const Values& arguments) {
  const std::string& function = node.text;
  const Value& first = arguments[0];
  if (function == "startsWith") return Value::of(first.text().starts_with(arguments[1].text()));
  if (function == "endsWith") return Value::of(first.text().ends_with(arguments[1].text()));
  if (function == "contains")
    return Value::of(first.text().find(arguments[1].text()) != std::string_view::npos);
  if (function == "matches")
    return Value::of(
        re2::RE2::PartialMatch(re2::StringPiece(first.bytes, first.size), std::string(arguments[1].text())));
  if (function == "string") return first.kind == Kind::kString ? first : own(to_text(first));
  if (function == "double")
    return first.kind == Kind::kInt ? Value::of(static_cast<double>(first.integer)) : first;
  if (function == "int") return to_int(first);
  return size_of(first.text());
}

}  // namespace dispatcher::testing
