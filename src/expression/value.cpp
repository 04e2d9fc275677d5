#include "expression/value.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace dispatcher::expression {

const char* name(Kind kind) {
  constexpr std::array<const char*, 7> kNames = {"error", "bool", "int", "double", "string", "list", "map"};
  return kNames[static_cast<std::size_t>(kind)];
}

const char* name(EvaluationError error) {
  constexpr std::array<const char*, 6> kNames = {"a field that the request lacks",
                                                 "overflow",
                                                 "division by zero",
                                                 "a key that the map lacks",
                                                 "an index past the list's end",
                                                 "a text that is no number"};
  return kNames[static_cast<std::size_t>(error)];
}

std::string to_text(const Type& type) {
  if (type.kind == Kind::kList) return std::string("list(") + name(type.element) + ")";
  if (type.kind == Kind::kMap) return std::string("map(") + name(type.key) + ", " + name(type.element) + ")";
  return name(type.kind);
}

bool same(const Value& left, const Value& right) {
  if (left.kind != right.kind) return false;
  switch (left.kind) {
    case Kind::kBool:
      return left.boolean == right.boolean;
    case Kind::kInt:
      return left.integer == right.integer;
    case Kind::kDouble:
      return left.real == right.real;
    case Kind::kString:
      return left.text() == right.text();
    default:
      return false;
  }
}

std::string to_text(const Value& value) {
  switch (value.kind) {
    case Kind::kError:
      return std::string("none: ") + name(value.error);
    case Kind::kBool:
      return value.boolean ? "true" : "false";
    case Kind::kInt:
      return std::to_string(value.integer);
    case Kind::kDouble: {
      std::array<char, 32> text{};  // longer than the shortest form of any double
      return {text.data(), std::to_chars(text.data(), text.data() + text.size(), value.real).ptr};
    }
    case Kind::kString:
      return "\"" + std::string(value.text()) + "\"";
    default:
      return name(value.kind);
  }
}

int Environment::find(std::string_view path) const {
  const auto it =
      std::find_if(fields_.begin(), fields_.end(), [&](const Field& field) { return field.path == path; });
  return it == fields_.end() ? -1 : static_cast<int>(it - fields_.begin());
}

}  // namespace dispatcher::expression
