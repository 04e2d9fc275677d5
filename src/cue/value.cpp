#include "cue/value.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace dispatcher::cue {

namespace {

// The length in bytes beyond which the further disjuncts of a disjunction are omitted from an error message.
constexpr std::size_t kMaxDisjunctionBytes = 240;

void append_alternative(std::string& text, std::string_view alternative) {
  if (!text.empty()) text += " | ";
  text += alternative;
}

std::string describe_kinds(KindSet kinds) {
  struct Name {
    KindSet kinds;
    std::string_view text;
  };
  constexpr std::array<Name, 8> kNames = {{{kNullKind, "null"},
                                           {kBoolKind, "bool"},
                                           {kNumberKinds, "number"},
                                           {kIntKind, "int"},
                                           {kFloatKind, "float"},
                                           {kStringKind, "string"},
                                           {kStructKind, "a struct"},
                                           {kListKind, "a list"}}};
  if (kinds == kAllKinds) return "any value";
  std::string text;
  for (const Name& name : kNames) {
    if ((kinds & name.kinds) != name.kinds) continue;
    kinds &= ~name.kinds;
    append_alternative(text, name.text);
  }
  return text.empty() ? "nothing" : text;
}

std::string describe_disjunction(const Value& value) {
  std::string text;
  for (const Value::Disjunct& disjunct : value.disjuncts) {
    if (text.size() > kMaxDisjunctionBytes) return text + " | ...";
    append_alternative(text, describe(*disjunct.value));
  }
  return text;
}

std::string describe_bounds(const Value& value) {
  std::string text;
  // Kinds other than int follow from the operands of the bounds.
  if ((value.kinds & (kNumberKinds | kStringKind)) == kIntKind) text = "int";
  for (const Bound& bound : value.bounds) {
    if (!text.empty()) text += " & ";
    text += to_text(bound.bound_operator);
    text += describe(bound.operand);
  }
  return text;
}

}  // namespace

std::shared_ptr<Value> make_value(Position position, KindSet kinds) {
  auto value = std::make_shared<Value>();
  value->position = position;
  value->kinds = kinds;
  return value;
}

ValuePtr make_scalar_value(Position position, Scalar scalar) {
  constexpr std::array<KindSet, std::variant_size_v<Scalar>> kKinds = {kNullKind, kBoolKind, kIntKind,
                                                                       kFloatKind, kStringKind};
  auto value = make_value(position, kKinds[scalar.index()]);
  value->scalar = std::move(scalar);
  return value;
}

bool is_top(const Value& value) { return value.kinds == kAllKinds && value.bounds.empty(); }

bool has_default(const std::vector<Value::Disjunct>& disjuncts) {
  return std::any_of(disjuncts.begin(), disjuncts.end(),
                     [](const Value::Disjunct& disjunct) { return disjunct.is_default; });
}

Position file_position(const ValuePtr& left, const ValuePtr& right) {
  return right->position.in_file() ? right->position : left->position;
}

std::string describe(const Value& value) {
  if (!value.disjuncts.empty()) return describe_disjunction(value);
  if (value.scalar) return describe(*value.scalar);
  if (value.bounds.empty()) return describe_kinds(value.kinds);
  return describe_bounds(value);
}

}  // namespace dispatcher::cue
