#include "expression_generator.hpp"

#include <initializer_list>

namespace dispatcher::testing {

using expression::Kind;

namespace {

// Concatenates texts that are drawn in the order in which they are listed. The operands of operator+ would be
// drawn in an order that differs between machines.
std::string join(std::initializer_list<std::string> parts) {
  std::string text;
  for (const std::string& part : parts) text += part;
  return text;
}

}  // namespace

Kind ExpressionGenerator::pick_kind() {
  return std::vector{Kind::kBool, Kind::kInt, Kind::kDouble, Kind::kString}[pick(4)];
}

std::string ExpressionGenerator::make(Kind kind, int depth) {
  const bool is_leaf = depth <= 0 || pick(5) == 0;
  if (is_leaf) return make_leaf(kind);
  switch (kind) {
    case Kind::kBool:
      return make_bool(depth - 1);
    case Kind::kInt:
      return make_int(depth - 1);
    case Kind::kDouble:
      return make_double(depth - 1);
    default:
      return make_string(depth - 1);
  }
}

std::string ExpressionGenerator::make_leaf(Kind kind) {
  switch (kind) {
    case Kind::kBool:
      return any({"true", "false", "request.retry", "has(request.session)", "has(header.tier)"});
    case Kind::kInt:
      return any({"request.tokens", "header.weight", "0", "1", "-3", "1200", "9223372036854775807"});
    case Kind::kDouble:
      return any({"request.share", "0.5", "0.0", "-2.25", "1e18"});
    default:
      return any({"request.class", "request.account", "request.session", "header.tier", "''", "'ac'",
                  "'\xC3\xA9g'"});
  }
}

std::string ExpressionGenerator::make_conditional(Kind kind, int depth) {
  return join({"(", make(Kind::kBool, depth), " ? ", make(kind, depth), " : ", make(kind, depth), ")"});
}

std::string ExpressionGenerator::make_bool(int depth) {
  const Kind kind = std::vector{Kind::kInt, Kind::kDouble, Kind::kString}[pick(3)];
  switch (pick(10)) {
    case 0:
      return join({"(", make(Kind::kBool, depth), " && ", make(Kind::kBool, depth), " && ",
                   make(Kind::kBool, depth), ")"});
    case 1:
      return join({"(", make(Kind::kBool, depth), " || ", make(Kind::kBool, depth), ")"});
    case 2:
      return "!" + make(Kind::kBool, 0);
    case 3:
      return make_conditional(Kind::kBool, depth);
    case 4:
      return join({"(", make(kind, depth), any({" == ", " != ", " < ", " <= ", " > ", " >= "}),
                   make(kind, depth), ")"});
    case 5:
      return "(" + make(Kind::kString, depth) + " in ['ask', 'acme', ''])";
    case 6:
      return join({"(", make(Kind::kInt, depth), " in [1200, ", make(Kind::kInt, depth), "])"});
    case 7:
      return join({make(Kind::kString, 0), ".", any({"startsWith", "endsWith", "contains"}), "(",
                   make(Kind::kString, depth), ")"});
    case 8:
      return join({make(Kind::kString, 0), ".matches('",
                   any({"^a", "s|e$", "[^a-m]+", "(?i)G.ld", "c{1,2}m"}), "')"});
    default:
      return join({any({"[1, 2, request.tokens].exists(x, x + 1 > ", "[0, 1].all(x, 3 / x >= "}),
                   make(Kind::kInt, depth), ")"});
  }
}

std::string ExpressionGenerator::make_int(int depth) {
  switch (pick(6)) {
    case 0:
      return make_conditional(Kind::kInt, depth);
    case 1:
      return "size(" + make(Kind::kString, depth) + ")";
    case 2:
      return "int(" + make(Kind::kDouble, depth) + ")";
    case 3:
      return "{'ask': 3, 'acme': 7}[" + make(Kind::kString, depth) + "]";
    default:
      return join({"(", make(Kind::kInt, depth), any({" + ", " - ", " * ", " / ", " % "}),
                   make(Kind::kInt, depth), ")"});
  }
}

std::string ExpressionGenerator::make_double(int depth) {
  if (pick(3) == 0) return make_conditional(Kind::kDouble, depth);
  if (pick(2) == 0) return "double(" + make(Kind::kInt, depth) + ")";
  return join(
      {"(", make(Kind::kDouble, depth), any({" + ", " - ", " * ", " / "}), make(Kind::kDouble, depth), ")"});
}

std::string ExpressionGenerator::make_string(int depth) {
  if (pick(3) == 0) return make_conditional(Kind::kString, depth);
  if (pick(2) == 0) return "string(" + make(Kind::kInt, depth) + ")";
  return join({"(", make(Kind::kString, depth), " + ", make(Kind::kString, depth), ")"});
}

}  // namespace dispatcher::testing
