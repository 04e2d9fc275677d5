#include "expression/ast.hpp"

namespace dispatcher::expression {

namespace {

std::string quoted(std::string_view text) {
  std::string result = "\"";
  for (const char letter : text) {
    if (letter == '"' || letter == '\\') result += '\\';
    if (letter == '\n') {
      result += "\\n";
    } else {
      result += letter;
    }
  }
  return result + "\"";
}

std::string literal_text(const Node& node) {
  switch (node.type.kind) {
    case Kind::kString:
      return quoted(node.text);
    case Kind::kBool:
      return node.integer != 0 ? "true" : "false";
    case Kind::kInt:
      return std::to_string(node.integer);
    default:
      break;
  }
  std::string real = to_text(Value::of(node.real));
  const bool looks_like_int = real.find_first_of(".en") == std::string::npos;
  if (looks_like_int) real += ".0";
  return real;
}

// Returns the texts of the children from index `first` on, joined by `separator`.
std::string joined(const std::vector<Node>& children, const std::string& separator, std::size_t first = 0) {
  std::string text;
  for (std::size_t i = first; i < children.size(); ++i) {
    if (i > first) text += separator;
    text += to_text(children[i]);
  }
  return text;
}

std::string map_text(const Node& node) {
  std::string text = "{";
  for (std::size_t i = 0; i + 1 < node.children.size(); i += 2) {
    if (i > 0) text += ", ";
    text += to_text(node.children[i]) + ": " + to_text(node.children[i + 1]);
  }
  return text + "}";
}

std::string call_text(const Node& node) {
  if (!node.is_method) return node.text + "(" + joined(node.children, ", ") + ")";
  return to_text(node.children[0]) + "." + node.text + "(" + joined(node.children, ", ", 1) + ")";
}

}  // namespace

std::string_view symbol(Op operation) {
  switch (operation) {
    case Op::kNot:
      return "!";
    case Op::kNegate:
    case Op::kSubtract:
      return "-";
    case Op::kAnd:
      return "&&";
    case Op::kOr:
      return "||";
    case Op::kIf:
      return "?:";
    case Op::kIndex:
      return "[]";
    case Op::kEqual:
      return "==";
    case Op::kUnequal:
      return "!=";
    case Op::kLess:
      return "<";
    case Op::kLessEqual:
      return "<=";
    case Op::kGreater:
      return ">";
    case Op::kGreaterEqual:
      return ">=";
    case Op::kIn:
      return "in";
    case Op::kAdd:
      return "+";
    case Op::kMultiply:
      return "*";
    case Op::kDivide:
      return "/";
    case Op::kRemainder:
      return "%";
    default:
      return {};
  }
}

std::string to_text(const Node& node) {
  const auto child = [&](std::size_t index) { return to_text(node.children[index]); };
  switch (node.op) {
    case Op::kLiteral:
      return literal_text(node);
    case Op::kName:
    case Op::kField:
      return node.text;
    case Op::kPresent:
      return "has(" + node.text + ")";
    case Op::kSelect:
      return child(0) + "." + node.text;
    case Op::kCall:
      return call_text(node);
    case Op::kIndex:
      return child(0) + "[" + child(1) + "]";
    case Op::kList:
      return "[" + joined(node.children, ", ") + "]";
    case Op::kMap:
      return map_text(node);
    case Op::kNot:
    case Op::kNegate:
      return std::string(symbol(node.op)) + child(0);
    case Op::kIf:
      return "(" + child(0) + " ? " + child(1) + " : " + child(2) + ")";
    default:
      return "(" + joined(node.children, " " + std::string(symbol(node.op)) + " ") + ")";
  }
}

}  // namespace dispatcher::expression
