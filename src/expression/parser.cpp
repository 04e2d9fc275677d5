#include "expression/parser.hpp"

#include <array>
#include <memory>
#include <string>
#include <utility>

#include "cue/utf8.hpp"
#include "expression/grammar.hpp"
#include "expression/literals.hpp"

namespace dispatcher::expression {

namespace {

namespace pegtl = tao::pegtl;

// A node of PEGTL's parse tree, which has a node for each level of precedence.
using ParseTree = pegtl::parse_tree::node;

Op binary_operator(std::string_view symbol) {
  constexpr std::array<std::pair<std::string_view, Op>, 12> kOperators = {{{"==", Op::kEqual},
                                                                           {"!=", Op::kUnequal},
                                                                           {"<", Op::kLess},
                                                                           {"<=", Op::kLessEqual},
                                                                           {">", Op::kGreater},
                                                                           {">=", Op::kGreaterEqual},
                                                                           {"in", Op::kIn},
                                                                           {"+", Op::kAdd},
                                                                           {"-", Op::kSubtract},
                                                                           {"*", Op::kMultiply},
                                                                           {"/", Op::kDivide},
                                                                           {"%", Op::kRemainder}}};
  for (const auto& [known, operation] : kOperators) {
    if (known == symbol) return operation;
  }
  return Op::kEqual;
}

// Converts the parse tree into the syntax tree. `depth` is the depth of the node in the syntax tree.
class AstBuilder {
 public:
  explicit AstBuilder(std::string_view text) : text_(text) {}

  [[nodiscard]] Node build(const ParseTree& tree, int depth) const {
    check_depth(tree, depth);
    if (tree.is_type<grammar::Conditional>()) return build_unless_single(Op::kIf, tree, depth);
    if (tree.is_type<grammar::Disjunction>()) return build_unless_single(Op::kOr, tree, depth);
    if (tree.is_type<grammar::Conjunction>()) return build_unless_single(Op::kAnd, tree, depth);
    if (tree.is_type<grammar::Relation>() || tree.is_type<grammar::Sum>() || tree.is_type<grammar::Product>())
      return build_left_associative(tree, depth);
    if (tree.is_type<grammar::Negation>()) return build_negation(tree, depth);
    if (tree.is_type<grammar::Member>()) return build_member(tree, depth);
    if (tree.is_type<grammar::Call>()) return build_call(tree, depth);
    if (tree.is_type<grammar::List>()) return build_with_children(Op::kList, tree, depth);
    if (tree.is_type<grammar::Map>()) return build_map(tree, depth);
    return build_leaf(tree);
  }

 private:
  [[nodiscard]] std::size_t position(const ParseTree& tree) const {
    return static_cast<std::size_t>(tree.string_view().data() - text_.data());
  }

  void check_depth(const ParseTree& tree, int depth) const {
    if (depth > kMaxDepth) fail(position(tree), "nested more than " + std::to_string(kMaxDepth) + " deep");
  }

  [[nodiscard]] Node make_node(Op operation, const ParseTree& tree) const {
    Node node;
    node.op = operation;
    node.at = position(tree);
    return node;
  }

  void append_children(Node& node, const ParseTree& tree, int depth) const {
    for (const auto& child : tree.children) node.children.push_back(build(*child, depth + 1));
  }

  [[nodiscard]] Node build_with_children(Op operation, const ParseTree& tree, int depth) const {
    Node node = make_node(operation, tree);
    append_children(node, tree, depth);
    return node;
  }

  // A level of precedence whose operator does not occur gets no node in the syntax tree.
  [[nodiscard]] Node build_unless_single(Op operation, const ParseTree& tree, int depth) const {
    if (tree.children.size() == 1) return build(*tree.children.front(), depth);
    return build_with_children(operation, tree, depth);
  }

  // Builds a chain of alternating operands and operators: a - b - c is (a - b) - c.
  [[nodiscard]] Node build_left_associative(const ParseTree& tree, int depth) const {
    check_depth(tree, static_cast<int>(tree.children.size()) / 2 + depth);
    Node left = build(*tree.children.front(), depth + 1);
    for (std::size_t i = 1; i + 1 < tree.children.size(); i += 2) {
      const ParseTree& symbol = *tree.children[i];
      Node node = make_node(binary_operator(symbol.string_view()), symbol);
      node.children.push_back(std::move(left));
      node.children.push_back(build(*tree.children[i + 1], depth + 1));
      left = std::move(node);
    }
    return left;
  }

  [[nodiscard]] Node build_negation(const ParseTree& tree, int depth) const {
    const ParseTree& operand = *tree.children.back();
    const bool is_minus = tree.string_view().front() == '-';
    // The smallest integer has no positive counterpart, so a minus sign is part of an integer literal.
    const bool is_integer = operand.is_type<grammar::Member>() && operand.children.size() == 1 &&
                            operand.children.front()->is_type<grammar::Integer>();
    if (!is_minus || !is_integer) return build_with_children(is_minus ? Op::kNegate : Op::kNot, tree, depth);
    const ParseTree& digits = *operand.children.front();
    Node literal = make_literal(Kind::kInt, tree);
    literal.integer = parse_integer({digits.string_view(), position(digits)}, Sign::kNegative);
    return literal;
  }

  // Builds a primary expression with the fields, methods and indices that follow it.
  [[nodiscard]] Node build_member(const ParseTree& tree, int depth) const {
    check_depth(tree, static_cast<int>(tree.children.size()) + depth);
    Node object = build(*tree.children.front(), depth + 1);
    for (std::size_t i = 1; i < tree.children.size(); ++i) {
      const ParseTree& part = *tree.children[i];
      object = part.is_type<grammar::Select>() ? build_select(std::move(object), part, depth)
                                               : build_index(std::move(object), part, depth);
    }
    return object;
  }

  [[nodiscard]] Node build_select(Node object, const ParseTree& tree, int depth) const {
    const bool has_arguments = tree.children.size() == 2;
    Node node = make_node(has_arguments ? Op::kCall : Op::kSelect, tree);
    node.text = tree.children[0]->string_view();
    node.is_method = has_arguments;
    node.children.push_back(std::move(object));
    if (has_arguments) append_children(node, *tree.children[1], depth);
    return node;
  }

  [[nodiscard]] Node build_index(Node object, const ParseTree& tree, int depth) const {
    Node node = make_node(Op::kIndex, tree);
    node.children.push_back(std::move(object));
    append_children(node, tree, depth);
    return node;
  }

  [[nodiscard]] Node build_call(const ParseTree& tree, int depth) const {
    Node call = make_node(Op::kCall, tree);
    call.text = tree.children[0]->string_view();
    append_children(call, *tree.children[1], depth);
    return call;
  }

  [[nodiscard]] Node build_map(const ParseTree& tree, int depth) const {
    Node map = make_node(Op::kMap, tree);
    for (const auto& entry : tree.children) append_children(map, *entry, depth);
    return map;
  }

  [[nodiscard]] Node build_leaf(const ParseTree& tree) const {
    if (!tree.is_type<grammar::Name>()) return build_literal(tree);
    Node name = make_node(Op::kName, tree);
    name.text = tree.string_view();
    return name;
  }

  [[nodiscard]] Node make_literal(Kind kind, const ParseTree& tree) const {
    Node literal = make_node(Op::kLiteral, tree);
    literal.type.kind = kind;
    return literal;
  }

  [[nodiscard]] Node build_literal(const ParseTree& tree) const {
    const Token token{tree.string_view(), position(tree)};
    if (tree.is_type<grammar::Null>())
      fail(token.at, "null is not supported; use has() to test whether a field is present");
    if (tree.is_type<grammar::Boolean>()) {
      Node literal = make_literal(Kind::kBool, tree);
      literal.integer = token.text == "true" ? 1 : 0;
      return literal;
    }
    if (tree.is_type<grammar::Integer>()) {
      Node literal = make_literal(Kind::kInt, tree);
      literal.integer = parse_integer(token, Sign::kPositive);
      return literal;
    }
    if (tree.is_type<grammar::Double>()) {
      Node literal = make_literal(Kind::kDouble, tree);
      literal.real = parse_double(token);
      return literal;
    }
    Node literal = make_literal(Kind::kString, tree);
    literal.text = string_content(tree);
    return literal;
  }

  [[nodiscard]] std::string string_content(const ParseTree& tree) const {
    const std::string_view literal = tree.string_view();
    if (tree.is_type<grammar::RawString>()) return std::string(literal.substr(2, literal.size() - 3));
    const std::size_t quotes = tree.is_type<grammar::LongString>() ? 3 : 1;
    const std::string_view content = literal.substr(quotes, literal.size() - 2 * quotes);
    return unescape({content, position(tree) + quotes});
  }

  std::string_view text_;
};

}  // namespace

Node parse(std::string_view text) {
  if (text.size() > kMaxExpressionBytes)
    fail(0, "longer than " + std::to_string(kMaxExpressionBytes) + " bytes");
  const std::size_t invalid = cue::invalid_utf8(text);
  if (invalid != std::string_view::npos) fail(invalid, "not UTF-8");
  pegtl::memory_input<pegtl::tracking_mode::lazy, pegtl::eol::lf_crlf, const char*> input(
      text.data(), text.data() + text.size(), "");
  try {
    const auto tree = pegtl::parse_tree::parse<grammar::Expression, ParseTree, grammar::Selector,
                                               grammar::Action, grammar::Control>(input);
    return AstBuilder(text).build(*tree->children.front(), 0);
  } catch (const pegtl::parse_error& error) {
    fail(error.positions().front().byte, std::string(error.message()));
  }
}

}  // namespace dispatcher::expression
