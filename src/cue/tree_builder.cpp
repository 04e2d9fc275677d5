#include "cue/tree_builder.hpp"

#include <string>
#include <utility>

#include "cue/grammar.hpp"
#include "cue/literals.hpp"
#include "cue/syntax_error.hpp"

namespace dispatcher::cue {

namespace {

const char* begin_of(const ParseNode& node) { return node.string_view().data(); }

bool is_string(const ParseNode& node) {
  return node.is_type<grammar::PlainString>() || node.is_type<grammar::RawString>() ||
         node.is_type<grammar::MultilineString>() || node.is_type<grammar::RawMultilineString>();
}

bool is_field(const ParseNode& node) {
  return node.is_type<grammar::NamedField>() || node.is_type<grammar::PatternField>();
}

// Returns the text of a node without the delimiter of `length` bytes at each end.
std::string_view without_delimiters(const ParseNode& node, std::size_t length) {
  const std::string_view source = node.string_view();
  return source.substr(length, source.size() - 2 * length);
}

std::string multiline_string_value(const ParseNode& node) {
  constexpr std::size_t kTripleQuoteBytes = 3;
  try {
    return unescape(dedent(without_delimiters(node, kTripleQuoteBytes)));
  } catch (SyntaxError& error) {
    error.at = begin_of(node);  // `at` points into the dedented copy, not into the text
    throw;
  }
}

std::string string_value(const ParseNode& node) {
  constexpr std::size_t kQuoteBytes = 1;
  constexpr std::size_t kRawQuoteBytes = 2;
  constexpr std::size_t kRawTripleQuoteBytes = 4;
  if (node.is_type<grammar::PlainString>()) return unescape(without_delimiters(node, kQuoteBytes));
  if (node.is_type<grammar::RawString>()) return std::string(without_delimiters(node, kRawQuoteBytes));
  if (node.is_type<grammar::RawMultilineString>())
    return dedent(without_delimiters(node, kRawTripleQuoteBytes));
  return multiline_string_value(node);
}

// Returns whether a bound may have the operand. Regular expressions must be strings, `!=` takes any
// literal, and the other operators take a number or string.
bool is_valid_operand(BoundOperator bound_operator, const Expression& operand) {
  if (operand.kind != ExpressionKind::kLiteral) return false;
  const bool is_string_literal = std::holds_alternative<std::string>(operand.literal);
  if (is_match(bound_operator)) return is_string_literal;
  if (bound_operator == BoundOperator::kNotEqual || is_string_literal) return true;
  return std::holds_alternative<std::int64_t>(operand.literal) ||
         std::holds_alternative<double>(operand.literal);
}

}  // namespace

Position TreeBuilder::position(const char* at) const {
  return lines_.position(static_cast<std::size_t>(at - text_.data()));
}

Expression TreeBuilder::make_expression(ExpressionKind kind, const ParseNode& node) const {
  Expression expression;
  expression.kind = kind;
  expression.position = position(begin_of(node));
  return expression;
}

Expression TreeBuilder::build(const ParseNode& node) const {
  if (node.is_type<grammar::Disjunction>()) return build_operands(ExpressionKind::kDisjunction, node);
  if (node.is_type<grammar::Conjunction>()) return build_operands(ExpressionKind::kConjunction, node);
  if (node.is_type<grammar::DefaultDisjunct>()) return build_with_children(ExpressionKind::kDefault, node);
  if (node.is_type<grammar::UnaryOperation>()) return build_unary(node);
  if (node.is_type<grammar::Struct>()) return build_struct(node);
  if (node.is_type<grammar::List>()) return build_list(node);
  return build_leaf(node);
}

Expression TreeBuilder::build_with_children(ExpressionKind kind, const ParseNode& node) const {
  Expression expression = make_expression(kind, node);
  for (const auto& child : node.children) expression.children.push_back(build(*child));
  return expression;
}

// The grammar creates a node for each binary operator even if there is one operand and no operator.
Expression TreeBuilder::build_operands(ExpressionKind kind, const ParseNode& node) const {
  if (node.children.size() > 1) return build_with_children(kind, node);
  const ParseNode& only_operand = *node.children.front();
  if (only_operand.is_type<grammar::DefaultDisjunct>())
    throw SyntaxError{begin_of(only_operand), "'*' is allowed only before one of several alternatives"};
  return build(only_operand);
}

Expression TreeBuilder::build_struct(const ParseNode& node) const {
  Expression expression = make_expression(ExpressionKind::kStruct, node);
  for (const auto& child : node.children) add_declaration(expression, *child);
  return expression;
}

Expression TreeBuilder::build_list(const ParseNode& node) const {
  Expression expression = make_expression(ExpressionKind::kList, node);
  for (const auto& child : node.children) {
    if (expression.is_open) throw SyntaxError{begin_of(*child), "'...' must be the last element of its list"};
    if (!child->is_type<grammar::FurtherElements>()) {
      expression.children.push_back(build(*child));
      continue;
    }
    expression.is_open = true;
    const bool is_constrained = child->children.size() > 1;  // in addition to the ellipsis
    expression.children.push_back(is_constrained ? build(*child->children.back())
                                                 : make_expression(ExpressionKind::kTop, *child));
  }
  return expression;
}

Expression TreeBuilder::build_unary(const ParseNode& node) const {
  const auto bound_operator = parse_bound_operator(node.children.front()->string_view());
  return bound_operator ? build_bound(node, *bound_operator) : build_signed_number(node);
}

Expression TreeBuilder::build_signed_number(const ParseNode& node) const {
  const std::string_view sign_text = node.children.front()->string_view();
  const ParseNode& operand = *node.children.back();
  const Sign sign = sign_text == "-" ? Sign::kNegative : Sign::kPositive;
  Expression expression = make_expression(ExpressionKind::kLiteral, node);
  if (operand.is_type<grammar::IntegerLiteral>()) {
    expression.literal = parse_integer(operand.string_view(), sign);
  } else if (operand.is_type<grammar::FloatLiteral>()) {
    const double magnitude = parse_float(operand.string_view());
    expression.literal = sign == Sign::kNegative ? -magnitude : magnitude;
  } else {
    throw SyntaxError{sign_text.data(), "a number expected after '" + std::string(sign_text) + "'"};
  }
  return expression;
}

Expression TreeBuilder::build_bound(const ParseNode& node, BoundOperator bound_operator) const {
  const ParseNode& operand = *node.children.back();
  Expression expression = make_expression(ExpressionKind::kBound, node);
  expression.bound_operator = bound_operator;
  expression.children.push_back(build(operand));
  if (!is_valid_operand(bound_operator, expression.children.front()))
    throw SyntaxError{begin_of(operand),
                      is_match(bound_operator) ? "text expected" : "a number or text expected"};
  return expression;
}

Expression TreeBuilder::build_leaf(const ParseNode& node) const {
  const std::string_view source = node.string_view();
  Expression expression = make_expression(ExpressionKind::kLiteral, node);
  if (is_string(node)) {
    expression.literal = string_value(node);
  } else if (node.is_type<grammar::IntegerLiteral>()) {
    expression.literal = parse_integer(source, Sign::kPositive);
  } else if (node.is_type<grammar::FloatLiteral>()) {
    expression.literal = parse_float(source);
  } else if (node.is_type<grammar::BooleanLiteral>()) {
    expression.literal = source == "true";
  } else if (node.is_type<grammar::NullLiteral>()) {
    expression.literal = Null{};
  } else if (node.is_type<grammar::Top>()) {
    expression.kind = ExpressionKind::kTop;
  } else if (node.is_type<grammar::Bottom>()) {
    expression.kind = ExpressionKind::kBottom;
  } else {
    const bool is_type_name = node.is_type<grammar::TypeName>();
    expression.kind = is_type_name ? ExpressionKind::kType : ExpressionKind::kReference;
    expression.name = source;
  }
  return expression;
}

void TreeBuilder::add_declaration(Expression& structure, const ParseNode& node) const {
  if (node.is_type<grammar::Ellipsis>()) {
    structure.is_open = true;
  } else {
    structure.fields.push_back(build_field(node));
  }
}

Expression::Field TreeBuilder::build_field(const ParseNode& node) const {
  Expression::Field field;
  const ParseNode& label = *node.children.front();
  field.position = position(begin_of(label));
  if (node.is_type<grammar::PatternField>()) {
    check_pattern(label);
    field.kind = Expression::Field::Kind::kPattern;
  } else {
    set_label(field, node);
  }
  field.value.push_back(build_field_value(*node.children.back()));
  return field;
}

void TreeBuilder::check_pattern(const ParseNode& pattern) const {
  const Expression expression = build(*pattern.children.front());
  if (expression.kind != ExpressionKind::kType || expression.name != "string")
    throw SyntaxError{begin_of(pattern), "only [string] is supported as a pattern"};
}

void TreeBuilder::set_label(Expression::Field& field, const ParseNode& node) const {
  using Kind = Expression::Field::Kind;
  const ParseNode& label = *node.children.front();
  const bool is_definition = label.is_type<grammar::Reference>();
  const bool is_optional = node.children[1]->is_type<grammar::OptionalMark>();
  field.label = is_string(label) ? string_value(label) : std::string(label.string_view());
  if (is_definition && is_optional) throw SyntaxError{begin_of(label), "a definition can't be optional"};
  if (is_definition) field.kind = Kind::kDefinition;
  if (is_optional) field.kind = Kind::kOptional;
}

// Builds the value of a field. A field in place of a value (a: b: 1) is short for a struct with that field.
Expression TreeBuilder::build_field_value(const ParseNode& node) const {
  if (!is_field(node)) return build(node);
  Expression structure = make_expression(ExpressionKind::kStruct, node);
  structure.fields.push_back(build_field(node));
  return structure;
}

}  // namespace dispatcher::cue
