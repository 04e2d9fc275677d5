// Converts PEGTL's parse tree into the syntax tree.
#ifndef DISPATCHER_CUE_TREE_BUILDER_HPP_
#define DISPATCHER_CUE_TREE_BUILDER_HPP_

#include <string_view>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "cue/line_index.hpp"
#include "cue/syntax.hpp"

namespace dispatcher::cue {

using ParseNode = tao::pegtl::parse_tree::node;

/// Builds expressions from the parse tree of one text. Refers to that text, which must outlive it.
/// Its functions throw SyntaxError if a node matches the grammar but is not valid.
class TreeBuilder {
 public:
  /// Nodes refer to `text`. Positions are those in `original`, which has the same length.
  TreeBuilder(std::string_view original, std::string_view text) : text_(text), lines_(original) {}

  /// Returns the line and column of a location within the text.
  [[nodiscard]] Position position(const char* at) const;
  /// Builds the expression of a node, which must not be a field.
  [[nodiscard]] Expression build(const ParseNode& node) const;
  /// Adds a declaration, that is, a field or an ellipsis, to a struct.
  void add_declaration(Expression& structure, const ParseNode& node) const;

 private:
  [[nodiscard]] Expression make_expression(ExpressionKind kind, const ParseNode& node) const;
  [[nodiscard]] Expression build_with_children(ExpressionKind kind, const ParseNode& node) const;
  [[nodiscard]] Expression build_operands(ExpressionKind kind, const ParseNode& node) const;
  [[nodiscard]] Expression build_struct(const ParseNode& node) const;
  [[nodiscard]] Expression build_list(const ParseNode& node) const;
  [[nodiscard]] Expression build_unary(const ParseNode& node) const;
  [[nodiscard]] Expression build_signed_number(const ParseNode& node) const;
  [[nodiscard]] Expression build_bound(const ParseNode& node, BoundOperator bound_operator) const;
  [[nodiscard]] Expression build_leaf(const ParseNode& node) const;

  [[nodiscard]] Expression::Field build_field(const ParseNode& node) const;
  [[nodiscard]] Expression build_field_value(const ParseNode& node) const;
  void set_label(Expression::Field& field, const ParseNode& node) const;
  void check_pattern(const ParseNode& pattern) const;

  std::string_view text_;
  LineIndex lines_;
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_TREE_BUILDER_HPP_
