#include "expression/type_rules.hpp"

#include <algorithm>
#include <initializer_list>

namespace dispatcher::expression {

namespace {

Type logical_type(const Node& node) {
  const bool are_bool = std::all_of(node.children.begin(), node.children.end(),
                                    [](const Node& child) { return child.type.kind == Kind::kBool; });
  return {are_bool ? Kind::kBool : Kind::kError};
}

Type negation_type(const Node& node) {
  const Type& operand = node.children[0].type;
  return is_number(operand.kind) ? operand : Type{};
}

Type conditional_type(const Node& node) {
  const Type& if_true = node.children[1].type;
  const Type& if_false = node.children[2].type;
  const bool fits =
      node.children[0].type.kind == Kind::kBool && if_true == if_false && is_scalar(if_true.kind);
  return fits ? if_true : Type{};
}

Type index_type(const Node& node) {
  const Type& object = node.children[0].type;
  const Type& index = node.children[1].type;
  const bool is_list_index = object.kind == Kind::kList && index.kind == Kind::kInt;
  const bool is_map_key = object.kind == Kind::kMap && index.kind == object.key;
  if (is_list_index || is_map_key) return {object.element};
  return {};
}

Type binary_type(const Node& node) {
  const Type& operand = node.children[0].type;
  if (operand != node.children[1].type || !is_scalar(operand.kind)) return {};
  switch (node.op) {
    case Op::kEqual:
    case Op::kUnequal:
      return {Kind::kBool};
    case Op::kAdd:
      return operand.kind == Kind::kBool ? Type{} : operand;
    case Op::kSubtract:
    case Op::kMultiply:
    case Op::kDivide:
      return is_number(operand.kind) ? operand : Type{};
    case Op::kRemainder:
      return operand.kind == Kind::kInt ? operand : Type{};
    default:  // <, <=, > and >=
      return {operand.kind == Kind::kBool ? Kind::kError : Kind::kBool};
  }
}

bool has_arguments(const Node& call, std::initializer_list<Kind> kinds) {
  return std::equal(kinds.begin(), kinds.end(), call.children.begin(), call.children.end(),
                    [](Kind kind, const Node& child) { return child.type.kind == kind; });
}

bool is_text_method(std::string_view function) {
  return function == "startsWith" || function == "endsWith" || function == "contains";
}

bool is_conversion(std::string_view function) {
  return function == "int" || function == "double" || function == "string";
}

Kind size_result(const Node& call) {
  if (call.children.size() != 1) return Kind::kError;
  const Kind kind = call.children[0].type.kind;
  const bool has_size = !is_number(kind) && kind != Kind::kBool;
  return has_size ? Kind::kInt : Kind::kError;
}

Kind conversion_result(const Node& call) {
  const bool is_convertible = has_arguments(call, {Kind::kInt}) || has_arguments(call, {Kind::kDouble}) ||
                              has_arguments(call, {Kind::kString});
  if (!is_convertible) return Kind::kError;
  if (call.text == "int") return Kind::kInt;
  return call.text == "double" ? Kind::kDouble : Kind::kString;
}

}  // namespace

bool is_scalar(Kind kind) {
  return kind == Kind::kBool || kind == Kind::kInt || kind == Kind::kDouble || kind == Kind::kString;
}

bool is_number(Kind kind) { return kind == Kind::kInt || kind == Kind::kDouble; }

Type operator_type(const Node& node) {
  switch (node.op) {
    case Op::kNot:
    case Op::kAnd:
    case Op::kOr:
      return logical_type(node);
    case Op::kNegate:
      return negation_type(node);
    case Op::kIf:
      return conditional_type(node);
    case Op::kIndex:
      return index_type(node);
    default:
      return binary_type(node);
  }
}

bool is_known_function(const Node& call) {
  if (call.text == "size" || call.text == "matches") return true;
  return call.is_method ? is_text_method(call.text) : is_conversion(call.text);
}

Kind function_result(const Node& call) {
  if (call.text == "size") return size_result(call);
  if (is_conversion(call.text)) return conversion_result(call);
  return has_arguments(call, {Kind::kString, Kind::kString}) ? Kind::kBool : Kind::kError;
}

std::string operand_types(const Node& node, std::string_view separator) {
  std::string types;
  for (const Node& child : node.children) {
    if (!types.empty()) types += separator;
    types += to_text(child.type);
  }
  return types;
}

}  // namespace dispatcher::expression
