#include "expression/type_checker.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cue/nearest.hpp"
#include "expression/parser.hpp"
#include "expression/type_rules.hpp"

namespace dispatcher::expression {

namespace {

// Thrown if the tree grows beyond kMaxNodes. Caught in this file.
struct TooManyNodes {};

bool is_literal(const Node& node) { return node.op == Op::kLiteral; }

bool has_failed(const Node& node) { return node.type.kind == Kind::kError; }

bool has_failed_child(const Node& node) {
  return std::any_of(node.children.begin(), node.children.end(), has_failed);
}

Node as_failed(Node node) {
  node.type = {};
  return node;
}

Node copy_without_children(const Node& node) {
  Node copy;
  static_cast<NodeAttributes&>(copy) = node;
  return copy;
}

Node make_bool(Op operation, std::size_t at, std::vector<Node> children) {
  Node node;
  node.op = operation;
  node.at = at;
  node.type.kind = Kind::kBool;
  node.children = std::move(children);
  return node;
}

Node make_bool_literal(std::size_t at, bool value) {
  Node literal = make_bool(Op::kLiteral, at, {});
  literal.integer = value ? 1 : 0;
  return literal;
}

// Joins conditions by kAnd or kOr. Returns the operator's identity element if there are no conditions.
Node join_conditions(Op operation, std::size_t at, std::vector<Node> conditions) {
  if (conditions.empty()) return make_bool_literal(at, operation == Op::kAnd);
  if (conditions.size() == 1) return std::move(conditions.front());
  return make_bool(operation, at, std::move(conditions));
}

// Checks one tree. Problems are collected, so that all of them are reported at once. A node with a problem
// gets the type kError, and nodes above it report no further problem because of it.
class TypeChecker {
 public:
  explicit TypeChecker(const Environment& fields) : fields_(fields) {}

  std::vector<Problem> problems;

  Node check(const Node& node) {
    count_nodes(1);
    switch (node.op) {
      case Op::kLiteral:
        return node;
      case Op::kName:
        return check_name(node);
      case Op::kSelect:
        return check_select(node);
      case Op::kCall:
        return check_call(node);
      case Op::kList:
        return check_list(node);
      case Op::kMap:
        return check_map(node);
      case Op::kIn:
        return check_in(node);
      default:
        return check_operator(node);
    }
  }

 private:
  void count_nodes(std::size_t count) {
    node_count_ += count;
    if (node_count_ > kMaxNodes) throw TooManyNodes{};
  }

  Node report(const Node& node, std::string what) {
    problems.push_back({node.at, std::move(what)});
    return as_failed(copy_without_children(node));
  }

  Node check_children(const Node& node) {
    Node checked = copy_without_children(node);
    checked.children.reserve(node.children.size());
    for (const Node& child : node.children) checked.children.push_back(check(child));
    return checked;
  }

  Node check_operator(const Node& node) {
    Node checked = check_children(node);
    if (has_failed_child(checked)) return as_failed(std::move(checked));
    checked.type = operator_type(checked);
    if (!has_failed(checked)) return checked;
    return report(checked, "'" + std::string(symbol(checked.op)) + "' is not defined for " +
                               operand_types(checked, " and "));
  }

  // ---- Names and fields ----

  Node check_name(const Node& node) {
    const auto bound = bound_names_.find(node.text);
    if (bound != bound_names_.end()) return bound->second.back();
    return make_field(node, node.text);
  }

  Node check_select(const Node& node) {
    const std::string path = field_path(node);
    if (!path.empty()) return make_field(node, path);
    // In CEL, map.key is the same as map["key"].
    Node key;
    key.op = Op::kLiteral;
    key.at = node.at;
    key.type.kind = Kind::kString;
    key.text = node.text;
    Node index = node;
    index.op = Op::kIndex;
    index.children.push_back(std::move(key));
    return check_operator(index);
  }

  // Returns the path a.b.c of a node that consists of names only, or an empty string for any other node.
  [[nodiscard]] std::string field_path(const Node& node) const {
    if (node.op == Op::kName) return bound_names_.contains(node.text) ? std::string() : node.text;
    if (node.op != Op::kSelect) return {};
    const std::string object = field_path(node.children[0]);
    return object.empty() ? object : object + "." + node.text;
  }

  Node make_field(const Node& node, const std::string& path) {
    if (node.op == Op::kSelect)
      return make_field(node.children[0], path);  // a field's offset is where its path begins
    const int number = fields_.find(path);
    if (number < 0) {
      const auto path_of = [](const Field& field) { return std::string_view(field.path); };
      return report(node, "unknown field '" + path + "'" + cue::nearest(path, fields_.fields(), path_of));
    }
    Node field;
    field.op = Op::kField;
    field.at = node.at;
    field.integer = number;
    field.text = path;
    field.type.kind = fields_.fields()[static_cast<std::size_t>(number)].kind;
    return field;
  }

  // ---- Lists and maps ----

  // A list literal may only have constant elements, except to the right of `in` and as the object of a macro.
  Node check_list(const Node& node) {
    Node checked = check_elements(node);
    if (has_failed_child(checked)) return as_failed(std::move(checked));
    if (checked.children.empty()) return report(node, "an empty list has no type");
    const auto computed = std::find_if_not(checked.children.begin(), checked.children.end(), is_literal);
    if (computed != checked.children.end())
      return report(*computed, "only constants are supported in a list in this place");
    return checked;
  }

  Node check_elements(const Node& node) {
    Node checked = check_children(node);
    const Type first = checked.children.empty() ? Type{} : checked.children[0].type;
    checked.type = {Kind::kList, Kind::kError, first.kind};
    for (Node& child : checked.children) {
      const bool fits = is_scalar(child.type.kind) && child.type == checked.children[0].type;
      if (has_failed(child) || fits) continue;
      child = report(child, "a list holds values of one type: " + to_text(checked.children[0].type) +
                                " and " + to_text(child.type));
    }
    return checked;
  }

  Node check_map(const Node& node) {
    Node checked = check_children(node);
    if (has_failed_child(checked)) return as_failed(std::move(checked));
    if (checked.children.empty()) return report(node, "an empty map has no type");
    checked.type = {Kind::kMap, checked.children[0].type.kind, checked.children[1].type.kind};
    std::vector<const Node*> keys;
    for (std::size_t i = 0; i < checked.children.size(); ++i) {
      const Node& child = checked.children[i];
      const bool is_key = i % 2 == 0;
      if (!is_literal(child)) return report(child, "only constants are supported in a map");
      if (child.type.kind != (is_key ? checked.type.key : checked.type.element))
        return report(child, "a map holds keys of one type and values of one type");
      if (!is_key) continue;
      if (child.type.kind != Kind::kInt && child.type.kind != Kind::kString)
        return report(child, "the keys of a map are int or string");
      const bool is_duplicate = std::any_of(keys.begin(), keys.end(), [&](const Node* key) {
        return key->text == child.text && key->integer == child.integer;
      });
      if (is_duplicate) return report(child, "duplicate key");
      keys.push_back(&child);
    }
    return checked;
  }

  Node check_in(const Node& node) {
    Node checked = copy_without_children(node);
    checked.children.push_back(check(node.children[0]));
    const Node& right = node.children[1];
    checked.children.push_back(right.op == Op::kList ? check_elements(right) : check(right));
    const Node& value = checked.children[0];
    const Node& collection = checked.children[1];
    if (has_failed_child(checked) || has_failed_child(collection)) return as_failed(std::move(checked));

    const bool is_list = collection.type.kind == Kind::kList;
    const bool is_map = collection.type.kind == Kind::kMap;
    if (is_list && collection.children.empty()) return make_bool_literal(node.at, false);
    const Kind element = is_map ? collection.type.key : collection.type.element;
    if ((!is_map && !is_list) || value.type.kind != element)
      return report(node, "'in' is not defined for " + operand_types(checked, " and "));
    checked.type = {Kind::kBool};
    const bool is_constant =
        is_map || std::all_of(collection.children.begin(), collection.children.end(), is_literal);
    if (!is_constant) return expand_in(checked);
    return checked;
  }

  // `in` with a computed list becomes a comparison with each of its elements.
  Node expand_in(const Node& node) {
    const Node& value = node.children[0];
    const Node& list = node.children[1];
    std::vector<Node> comparisons;
    comparisons.reserve(list.children.size());
    for (const Node& element : list.children)
      comparisons.push_back(make_bool(Op::kEqual, element.at, {value, element}));
    node_count_ += comparisons.size();
    return join_conditions(Op::kOr, node.at, std::move(comparisons));
  }

  // ---- Functions and macros ----

  Node check_call(const Node& node) {
    if (!node.is_method && node.text == "has") return expand_has(node);
    if (node.is_method && (node.text == "exists" || node.text == "all")) return expand_quantifier(node);
    Node checked = check_children(node);
    if (has_failed_child(checked)) return as_failed(std::move(checked));
    if (!is_known_function(checked)) {
      const auto same_name = [](std::string_view name) { return name; };
      return report(
          node, "unknown function '" + node.text + "'" + cue::nearest(node.text, kFunctionNames, same_name));
    }
    checked.type = {function_result(checked)};
    if (has_failed(checked))
      return report(node, "'" + node.text + "' is not defined for (" + operand_types(checked, ", ") + ")");
    if (checked.text == "matches" && !is_literal(checked.children[1]))
      return report(checked.children[1], "the pattern of matches() must be a constant");
    return checked;
  }

  Node expand_has(const Node& node) {
    std::string path;
    if (node.children.size() == 1 && node.children[0].op == Op::kSelect) path = field_path(node.children[0]);
    if (path.empty()) return report(node, "has() takes one field, such as has(request.session)");
    Node field = make_field(node.children[0], path);
    if (has_failed(field)) return field;
    if (!fields_.fields()[static_cast<std::size_t>(field.integer)].optional)
      return make_bool_literal(node.at, true);
    field.op = Op::kPresent;
    field.type.kind = Kind::kBool;
    return field;
  }

  // list.exists(name, condition) and list.all(name, condition) become one condition for each element.
  Node expand_quantifier(const Node& node) {
    if (node.children.size() != 3 || node.children[1].op != Op::kName)
      return report(node, "'" + node.text + "' takes a name and a condition, such as exists(x, x > 0)");
    if (node.children[0].op != Op::kList)
      return report(node, "'" + node.text + "' is supported for list literals only");
    const Node list = check_elements(node.children[0]);
    if (has_failed_child(list)) return report(node, "the list has errors");
    const std::string& name = node.children[1].text;
    const Node& condition = node.children[2];
    std::vector<Node> conditions;
    for (const Node& element : list.children) {
      const std::size_t problems_before = problems.size();
      conditions.push_back(check_bound(condition, name, element));
      const Node& checked = conditions.back();
      if (problems.size() > problems_before) return checked;
      if (checked.type.kind != Kind::kBool)
        return report(condition, "a condition is a bool, not " + to_text(checked.type));
    }
    return join_conditions(node.text == "exists" ? Op::kOr : Op::kAnd, node.at, std::move(conditions));
  }

  // Checks a node in which `name` is bound to `value`.
  Node check_bound(const Node& node, const std::string& name, const Node& value) {
    bound_names_[name].push_back(value);
    Node checked = check(node);
    auto& values = bound_names_[name];
    values.pop_back();
    if (values.empty()) bound_names_.erase(name);
    return checked;
  }

  const Environment& fields_;
  std::map<std::string, std::vector<Node>> bound_names_;  // by macros; the innermost value is last
  std::size_t node_count_ = 0;
};

}  // namespace

Node check(std::string_view text, const Environment& fields, Kind expected) {
  const Node parsed = parse(text);
  TypeChecker checker(fields);
  Node checked;
  try {
    checked = checker.check(parsed);
  } catch (const TooManyNodes&) {
    fail(parsed.at, "more than " + std::to_string(kMaxNodes) + " operations");
  }
  if (checker.problems.empty() && checked.type.kind != expected)
    checker.problems.push_back(
        {parsed.at, std::string("expected ") + name(expected) + ", found " + to_text(checked.type)});
  if (!checker.problems.empty()) throw Errors(std::move(checker.problems));
  return checked;
}

}  // namespace dispatcher::expression
