#include "expression/check.hpp"

#include <algorithm>
#include <map>
#include <string>

#include "cue/nearest.hpp"

namespace dispatcher::expression {

namespace {

struct TooLarge {};

bool scalar(Kind k) {
  return k == Kind::kBool || k == Kind::kInt || k == Kind::kDouble || k == Kind::kString;
}
bool number(Kind k) { return k == Kind::kInt || k == Kind::kDouble; }

class Checker {
 public:
  explicit Checker(const Environment& fields) : fields_(fields) {}
  std::vector<Problem> problems;

  // A node whose type is kError has been reported, or holds one that was.
  Node check(const Node& n) {
    if (++made_ > kMaxNodes) throw TooLarge{};
    switch (n.op) {
      case Op::kLiteral:
        return n;
      case Op::kName:
        return name(n);
      case Op::kSelect:
        return select(n);
      case Op::kCall:
        return call(n);
      case Op::kIndex:
        return index(n);
      case Op::kList:
        return list(n);
      case Op::kMap:
        return map(n);
      case Op::kNot:
      case Op::kAnd:
      case Op::kOr:
        return logic(n);
      case Op::kNegate:
        return typed(with_kids(n),
                     [](const Node& m) { return number(m.kids[0].type.kind) ? m.kids[0].type : Type{}; });
      case Op::kIf:
        return conditional(n);
      case Op::kIn:
        return in(n);
      default:
        return binary(n);
    }
  }

 private:
  Node bad(const Node& n, std::string what) {
    problems.push_back({n.at, std::move(what)});
    Node failed = n;
    failed.type = {};
    failed.kids.clear();
    return failed;
  }
  static bool failed(const Node& n) {
    return std::any_of(n.kids.begin(), n.kids.end(),
                       [](const Node& k) { return k.type.kind == Kind::kError; });
  }
  static Node without_kids(const Node& n) {
    Node made;
    made.op = n.op;
    made.at = n.at;
    made.type = n.type;
    made.flag = n.flag;
    made.integer = n.integer;
    made.real = n.real;
    made.text = n.text;
    return made;
  }
  Node with_kids(const Node& n) {
    Node made = without_kids(n);
    made.kids.reserve(n.kids.size());
    for (const Node& kid : n.kids) made.kids.push_back(check(kid));
    return made;
  }

  // `type_of` gives the type by the kids'; kError: they don't fit.
  template <class TypeOf>
  Node typed(Node n, TypeOf type_of) {
    if (failed(n)) return n.type = {}, n;
    n.type = type_of(n);
    if (n.type.kind != Kind::kError) return n;
    std::string types;
    for (const Node& kid : n.kids) types += (types.empty() ? "" : " and ") + to_text(kid.type);
    static const std::map<Op, const char*> kSigns = {
        {Op::kNegate, "-"},   {Op::kNot, "!"},           {Op::kAnd, "&&"},      {Op::kOr, "||"},
        {Op::kEqual, "=="},   {Op::kUnequal, "!="},      {Op::kLess, "<"},      {Op::kLessEqual, "<="},
        {Op::kGreater, ">"},  {Op::kGreaterEqual, ">="}, {Op::kAdd, "+"},       {Op::kSubtract, "-"},
        {Op::kMultiply, "*"}, {Op::kDivide, "/"},        {Op::kRemainder, "%"}, {Op::kIndex, "[]"},
        {Op::kIf, "?:"}};
    const auto sign = kSigns.find(n.op);
    return bad(n, "'" + (sign == kSigns.end() ? n.text : std::string(sign->second)) +
                      "' is not offered for " + types);
  }

  Node field(const Node& n, const std::string& path) {
    const int number = fields_.find(path);
    if (n.op == Op::kSelect) return field(n.kids[0], path);  // where the path begins
    if (number < 0) {
      return bad(n, "unknown field '" + path + "'" + cue::nearest(path, fields_.fields(), [](const Field& f) {
                      return std::string_view(f.path);
                    }));
    }
    Node made;
    made.op = Op::kField;
    made.at = n.at;
    made.integer = number;
    made.text = path;
    made.type.kind = fields_.fields()[static_cast<std::size_t>(number)].kind;
    return made;
  }

  Node name(const Node& n) {
    if (const auto it = bound_.find(n.text); it != bound_.end()) return it->second.back();
    return field(n, n.text);
  }

  // a.b.c as it is declared; empty: not only names.
  [[nodiscard]] std::string path(const Node& n) const {
    if (n.op == Op::kName) return bound_.contains(n.text) ? std::string() : n.text;
    if (n.op != Op::kSelect) return {};
    const std::string of = path(n.kids[0]);
    return of.empty() ? of : of + "." + n.text;
  }

  Node select(const Node& n) {
    if (const std::string whole = path(n); !whole.empty()) return field(n, whole);
    Node made = n;
    made.op = Op::kIndex;
    Node key;
    key.op = Op::kLiteral;
    key.at = n.at;
    key.type.kind = Kind::kString;
    key.text = n.text;
    made.kids.push_back(std::move(key));
    return index(made);
  }

  Node index(const Node& n) {
    return typed(with_kids(n), [](const Node& m) -> Type {
      const Type &of = m.kids[0].type, &by = m.kids[1].type;
      if (of.kind == Kind::kList && by.kind == Kind::kInt) return {of.element};
      if (of.kind == Kind::kMap && by.kind == of.key) return {of.element};
      return {};
    });
  }

  // Elsewhere than right of `in` and before .exists and .all a list has constants alone.
  Node list(const Node& n) {
    Node made = elements(n);
    if (failed(made)) return made.type = {}, made;
    if (made.kids.empty()) return bad(n, "an empty list has no type");
    for (const Node& kid : made.kids) {
      if (kid.op != Op::kLiteral) return bad(kid, "only constants are offered in a list that stands here");
    }
    return made;
  }

  Node elements(const Node& n) {
    Node made = with_kids(n);
    made.type = {Kind::kList, Kind::kError, made.kids.empty() ? Kind::kError : made.kids[0].type.kind};
    for (Node& kid : made.kids) {
      if (kid.type.kind == Kind::kError || (scalar(kid.type.kind) && kid.type == made.kids[0].type)) continue;
      kid = bad(kid, "a list holds values of one type: " + to_text(made.kids[0].type) + " and " +
                         to_text(kid.type));
    }
    return made;
  }

  Node map(const Node& n) {
    Node made = with_kids(n);
    if (failed(made)) return made.type = {}, made;
    if (made.kids.empty()) return bad(n, "an empty map has no type");
    made.type = {Kind::kMap, made.kids[0].type.kind, made.kids[1].type.kind};
    std::vector<const Node*> keys;
    for (std::size_t i = 0; i < made.kids.size(); ++i) {
      const Node& kid = made.kids[i];
      if (kid.op != Op::kLiteral) return bad(kid, "only constants are offered in a map");
      if (kid.type.kind != (i % 2 == 0 ? made.type.key : made.type.element))
        return bad(kid, "a map holds keys of one type and values of one type");
      if (i % 2 == 0 && kid.type.kind != Kind::kInt && kid.type.kind != Kind::kString)
        return bad(kid, "the keys of a map are int or string");
      if (i % 2 == 1) continue;
      for (const Node* key : keys) {
        if (key->text == kid.text && key->integer == kid.integer) return bad(kid, "the key stands twice");
      }
      keys.push_back(&kid);
    }
    return made;
  }

  Node logic(const Node& n) {
    return typed(with_kids(n), [](const Node& m) -> Type {
      const bool all =
          std::all_of(m.kids.begin(), m.kids.end(), [](const Node& k) { return k.type.kind == Kind::kBool; });
      return {all ? Kind::kBool : Kind::kError};
    });
  }

  Node conditional(const Node& n) {
    return typed(with_kids(n), [](const Node& m) -> Type {
      const bool fits = m.kids[0].type.kind == Kind::kBool && m.kids[1].type == m.kids[2].type &&
                        scalar(m.kids[1].type.kind);
      return fits ? m.kids[1].type : Type{};
    });
  }

  Node binary(const Node& n) {
    return typed(with_kids(n), [&](const Node& m) -> Type {
      const Type &a = m.kids[0].type, &b = m.kids[1].type;
      if (a != b || !scalar(a.kind)) return {};
      switch (n.op) {
        case Op::kEqual:
        case Op::kUnequal:
          return {Kind::kBool};
        case Op::kAdd:
          return a.kind == Kind::kBool ? Type{} : a;
        case Op::kSubtract:
        case Op::kMultiply:
        case Op::kDivide:
          return number(a.kind) ? a : Type{};
        case Op::kRemainder:
          return a.kind == Kind::kInt ? a : Type{};
        default:
          return {a.kind == Kind::kBool ? Kind::kError : Kind::kBool};
      }
    });
  }

  static Node of(Op op, std::size_t at, std::vector<Node> kids) {
    Node n;
    n.op = op;
    n.at = at;
    n.type.kind = Kind::kBool;
    n.kids = std::move(kids);
    return n;
  }
  static Node truth(std::size_t at, bool value) {
    Node n = of(Op::kLiteral, at, {});
    n.integer = value ? 1 : 0;
    return n;
  }
  // `none`: what it is of nothing.
  static Node join(Op op, std::size_t at, std::vector<Node> kids, bool none) {
    if (kids.empty()) return truth(at, none);
    return kids.size() == 1 ? std::move(kids.front()) : of(op, at, std::move(kids));
  }

  Node in(const Node& n) {
    Node made = without_kids(n);
    made.kids.push_back(check(n.kids[0]));
    made.kids.push_back(n.kids[1].op == Op::kList ? elements(n.kids[1]) : check(n.kids[1]));
    if (failed(made) || failed(made.kids[1])) return made.type = {}, made;
    const Node &what = made.kids[0], &where = made.kids[1];
    if (where.type.kind == Kind::kList && where.kids.empty()) return truth(n.at, false);
    const Kind element = where.type.kind == Kind::kMap ? where.type.key : where.type.element;
    if ((where.type.kind != Kind::kMap && where.type.kind != Kind::kList) || what.type.kind != element)
      return bad(n, "'in' is not offered for " + to_text(what.type) + " and " + to_text(where.type));
    made.type = {Kind::kBool};
    const bool constant =
        where.type.kind == Kind::kMap ||
        std::all_of(where.kids.begin(), where.kids.end(), [](const Node& k) { return k.op == Op::kLiteral; });
    if (constant) return made;
    std::vector<Node> equals;
    for (const Node& kid : where.kids) equals.push_back(of(Op::kEqual, kid.at, {what, kid}));
    made_ += equals.size();
    return join(Op::kOr, n.at, std::move(equals), false);
  }

  // ---- calls ----

  Node call(const Node& n) {
    if (!n.flag && n.text == "has") return has(n);
    if (n.flag && (n.text == "exists" || n.text == "all")) return over_list(n);
    Node made = with_kids(n);
    if (failed(made)) return made.type = {}, made;
    const auto is = [&](std::initializer_list<Kind> kinds) {
      return made.kids.size() == kinds.size() &&
             std::equal(kinds.begin(), kinds.end(), made.kids.begin(),
                        [](Kind k, const Node& kid) { return kid.type.kind == k; });
    };
    const auto result = [&](Kind kind) {
      made.type = {kind};
      return made;
    };
    const std::string& f = n.text;
    if (f == "size") {
      const bool sized =
          made.kids.size() == 1 && !number(made.kids[0].type.kind) && made.kids[0].type.kind != Kind::kBool;
      if (sized) return result(Kind::kInt);
    } else if (f == "matches" || (n.flag && (f == "startsWith" || f == "endsWith" || f == "contains"))) {
      if (is({Kind::kString, Kind::kString})) {
        if (f == "matches" && made.kids[1].op != Op::kLiteral)
          return bad(made.kids[1], "the pattern of matches() must be a constant");
        return result(Kind::kBool);
      }
    } else if (!n.flag && (f == "int" || f == "double" || f == "string")) {
      const Kind to = f == "int" ? Kind::kInt : f == "double" ? Kind::kDouble : Kind::kString;
      if (is({Kind::kInt}) || is({Kind::kDouble}) || is({Kind::kString})) return result(to);
    } else {
      static constexpr const char* kKnown[] = {"has",      "size",     "matches", "startsWith",
                                               "endsWith", "contains", "exists",  "all",
                                               "int",      "double",   "string"};
      return bad(n, "unknown function '" + f + "'" +
                        cue::nearest(f, kKnown, [](const char* k) { return std::string_view(k); }));
    }
    std::string types;
    for (const Node& kid : made.kids) types += (types.empty() ? "" : ", ") + to_text(kid.type);
    return bad(n, "'" + f + "' is not offered for (" + types + ")");
  }

  Node has(const Node& n) {
    const std::string whole =
        n.kids.size() == 1 && n.kids[0].op == Op::kSelect ? path(n.kids[0]) : std::string();
    if (whole.empty()) return bad(n, "has() takes one field, such as has(request.session)");
    Node made = field(n.kids[0], whole);
    if (made.type.kind == Kind::kError) return made;
    if (!fields_.fields()[static_cast<std::size_t>(made.integer)].optional) return truth(n.at, true);
    made.op = Op::kPresent;
    made.type.kind = Kind::kBool;
    return made;
  }

  // Written out: one condition for each element.
  Node over_list(const Node& n) {
    if (n.kids.size() != 3 || n.kids[1].op != Op::kName)
      return bad(n, "'" + n.text + "' takes a name and a condition, such as exists(x, x > 0)");
    if (n.kids[0].op != Op::kList)
      return bad(n, "'" + n.text + "' is offered for lists that are written out");
    const Node over = elements(n.kids[0]);
    if (failed(over)) return bad(n, "its list is not sound");
    const std::string& variable = n.kids[1].text;
    std::vector<Node> each;
    for (const Node& element : over.kids) {
      bound_[variable].push_back(element);
      const std::size_t before = problems.size();
      each.push_back(check(n.kids[2]));
      unbind(variable);
      if (problems.size() > before) return each.back();
      if (each.back().type.kind != Kind::kBool)
        return bad(n.kids[2], "a condition is a bool, not " + to_text(each.back().type));
    }
    const bool any = n.text == "exists";
    return join(any ? Op::kOr : Op::kAnd, n.at, std::move(each), !any);
  }

  void unbind(const std::string& variable) {
    auto& values = bound_[variable];
    values.pop_back();
    if (values.empty()) bound_.erase(variable);
  }

  const Environment& fields_;
  std::map<std::string, std::vector<Node>> bound_;  // the names of macros, the innermost last
  std::size_t made_ = 0;
};

}  // namespace

Node check(std::string_view text, const Environment& fields, Kind wanted) {
  const Node parsed = parse(text);
  Checker checker(fields);
  Node checked;
  try {
    checked = checker.check(parsed);
  } catch (const TooLarge&) {
    throw Errors({{parsed.at, "more than " + std::to_string(kMaxNodes) + " operations"}});
  }
  if (checker.problems.empty() && checked.type.kind != wanted)
    checker.problems.push_back(
        {parsed.at, std::string("expected ") + name(wanted) + ", found " + to_text(checked.type)});
  if (!checker.problems.empty()) throw Errors(std::move(checker.problems));
  return checked;
}

}  // namespace dispatcher::expression
