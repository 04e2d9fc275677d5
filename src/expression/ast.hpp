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
  kCall,     // text: the function; children: its arguments, before them the object of a method
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
  kPresent,  // has(); integer and text: as of kField
};

// A node's own data, without its children.
struct NodeAttributes {
  Op op{};
  std::size_t at = 0;        // offset in the expression's text, in bytes: of its begin or of its operator
  Type type;                 // set by the type checker; of literals by the parser
  bool is_method = false;    // of kCall: object.function()
  std::int64_t integer = 0;  // also of a bool: 0 or 1
  double real = 0;
  std::string text;
};

// A node, which owns its children.
struct Node : NodeAttributes {
  std::vector<Node> children;
};

// The symbol of an operator, such as "&&"; empty for nodes that are none.
[[nodiscard]] std::string_view symbol(Op operation);

// The tree as text, in one canonical form whatever its spacing and parentheses were. Parsing it gives the
// same tree, apart from the offsets.
[[nodiscard]] std::string to_text(const Node& node);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_AST_HPP_
