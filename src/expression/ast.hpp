// The abstract syntax tree of an expression.
#ifndef DISPATCHER_EXPRESSION_AST_HPP_
#define DISPATCHER_EXPRESSION_AST_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "expression/value.hpp"

namespace dispatcher::expression {

// The operation of a node. The children of operators are their operands, from left to right.
enum class Op : std::uint8_t {
  kLiteral,  // a constant of the node's type, in `integer`, `real` or `text`
  kName,     // text: an identifier
  kSelect,   // child: the object; text: its field
  kCall,     // text: the function; children: its arguments, preceded by the object for a method
  kIndex,    // children: a list or map, and an index or key
  kList,     // children: its elements
  kMap,      // children: key, value, key, value ...
  kNot,
  kNegate,
  kAnd,  // two children or more
  kOr,   // two children or more
  kIf,   // children: condition, value if true, value if false
  kEqual,
  kUnequal,
  kLess,
  kLessEqual,
  kGreater,
  kGreaterEqual,
  kIn,
  kAdd,
  kSubtract,
  kMultiply,
  kDivide,
  kRemainder,
  // Made by the type checker:
  kField,    // integer: the field's number in the environment; text: its path
  kPresent,  // has(); integer and text: as for kField
};

// A node's own data, without its children.
struct NodeAttributes {
  Op op{};
  std::size_t at = 0;        // byte offset of its start, or of its operator, in the expression
  Type type;                 // set by the type checker, or by the parser for literals
  bool is_method = false;    // for kCall: it has the form object.function()
  std::int64_t integer = 0;  // also holds a bool, as 0 or 1
  double real = 0;
  std::string text;
};

// A node of the tree. Owns its children.
struct Node : NodeAttributes {
  std::vector<Node> children;
};

// Returns the symbol of an operator, such as "&&", or an empty string if `operation` is not an operator.
[[nodiscard]] std::string_view symbol(Op operation);

// Returns the tree as text in a canonical form, which does not depend on the original spacing and
// parentheses. Parsing that text gives the same tree, except for the offsets.
[[nodiscard]] std::string to_text(const Node& node);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_AST_HPP_
