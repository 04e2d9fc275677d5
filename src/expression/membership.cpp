#include "expression/membership.hpp"

#include <span>
#include <string_view>

namespace dispatcher::expression {

namespace {

Value literal_value(const Node& literal) {
  if (literal.type.kind == Kind::kString) return Value::of(std::string_view(literal.text));
  return Value::of(literal.integer);
}

std::optional<Membership> field_membership(const Node& field, std::span<const Node> constants) {
  const bool has_exact_values = field.type.kind == Kind::kString || field.type.kind == Kind::kInt;
  if (field.op != Op::kField || !has_exact_values) return std::nullopt;
  Membership membership{static_cast<int>(field.integer), {}};
  for (const Node& constant : constants) {
    if (constant.op != Op::kLiteral) return std::nullopt;
    membership.values.push_back(literal_value(constant));
  }
  return membership;
}

}  // namespace

std::vector<const Node*> conjuncts(const Node& condition) {
  if (condition.op != Op::kAnd) return {&condition};
  std::vector<const Node*> all;
  for (const Node& child : condition.children) {
    const std::vector<const Node*> inner = conjuncts(child);
    all.insert(all.end(), inner.begin(), inner.end());
  }
  return all;
}

std::optional<Membership> membership(const Node& conjunct) {
  if (conjunct.op == Op::kEqual) {
    const Node& left = conjunct.children[0];
    const Node& right = conjunct.children[1];
    if (left.op == Op::kLiteral) return field_membership(right, {&left, 1});
    return field_membership(left, {&right, 1});
  }
  if (conjunct.op == Op::kIn && conjunct.children[1].op == Op::kList)
    return field_membership(conjunct.children[0], conjunct.children[1].children);
  return std::nullopt;
}

}  // namespace dispatcher::expression
