#include "expression/value.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace dispatcher::expression {

const char* name(Kind kind) {
  constexpr std::array<const char*, 7> kNames = {"error", "bool", "int", "double", "string", "list", "map"};
  return kNames[static_cast<std::size_t>(kind)];
}

const char* name(Fault fault) {
  constexpr std::array<const char*, 6> kNames = {"a field that the request lacks",
                                                 "overflow",
                                                 "division by zero",
                                                 "a key that the map lacks",
                                                 "an index past the list's end",
                                                 "a text that is no number"};
  return kNames[static_cast<std::size_t>(fault)];
}

std::string to_text(const Type& type) {
  if (type.kind == Kind::kList) return std::string("list(") + name(type.element) + ")";
  if (type.kind == Kind::kMap) return std::string("map(") + name(type.key) + ", " + name(type.element) + ")";
  return name(type.kind);
}

bool same(const Value& a, const Value& b) {
  if (a.kind != b.kind) return false;
  switch (a.kind) {
    case Kind::kBool:
      return a.truth == b.truth;
    case Kind::kInt:
      return a.integer == b.integer;
    case Kind::kDouble:
      return a.real == b.real;
    case Kind::kString:
      return a.text() == b.text();
    default:
      return false;
  }
}

std::string to_text(const Value& value) {
  switch (value.kind) {
    case Kind::kError:
      return std::string("none: ") + name(value.fault);
    case Kind::kBool:
      return value.truth ? "true" : "false";
    case Kind::kInt:
      return std::to_string(value.integer);
    case Kind::kDouble: {
      std::array<char, 32> text{};
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
      std::find_if(fields_.begin(), fields_.end(), [&](const Field& f) { return f.path == path; });
  return it == fields_.end() ? -1 : static_cast<int>(it - fields_.begin());
}

}  // namespace dispatcher::expression
