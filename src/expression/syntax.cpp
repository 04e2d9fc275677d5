#include "expression/syntax.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/limit_depth.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "cue/utf8.hpp"

namespace dispatcher::expression {

namespace {

namespace pegtl = tao::pegtl;

namespace grammar {
using namespace tao::pegtl;

struct comment : seq<string<'/', '/'>, star<not_at<eolf>, any>> {};
struct ws : star<sor<one<' ', '\t', '\r', '\n', '\f'>, comment>> {};
struct word_end : not_at<identifier_other> {};
template <char... C>
struct word : seq<string<C...>, word_end> {};

struct boolean : sor<word<'t', 'r', 'u', 'e'>, word<'f', 'a', 'l', 's', 'e'>> {};
struct null : word<'n', 'u', 'l', 'l'> {};
struct reserved : sor<boolean, null, word<'i', 'n'>> {};
struct name : seq<not_at<reserved>, identifier> {};
struct member_name : identifier {};

struct exponent : seq<one<'e', 'E'>, opt<one<'+', '-'>>, plus<digit>> {};
struct number_end : not_at<sor<identifier_other, seq<one<'.'>, digit>>> {};
struct floating : seq<sor<seq<star<digit>, one<'.'>, plus<digit>, opt<exponent>>, seq<plus<digit>, exponent>>,
                      number_end> {};
struct integer : seq<sor<seq<string<'0', 'x'>, plus<xdigit>>, plus<digit>>, number_end> {};

template <char Q>
struct quoted : if_must<one<Q>, star<sor<seq<one<'\\'>, not_one<'\n'>>, not_one<Q, '\\', '\n'>>>, one<Q>> {};
template <char Q>
struct long_quoted : if_must<string<Q, Q, Q>, until<string<Q, Q, Q>, sor<seq<one<'\\'>, any>, any>>> {};
template <char Q>
struct raw_quoted : seq<one<'r', 'R'>, if_must<one<Q>, star<not_one<Q, '\n'>>, one<Q>>> {};
struct raw_text : sor<raw_quoted<'"'>, raw_quoted<'\''>> {};
struct long_text : sor<long_quoted<'"'>, long_quoted<'\''>> {};
struct plain_text : sor<quoted<'"'>, quoted<'\''>> {};

struct expr;
struct operand : seq<expr> {};
struct close_paren : one<')'> {};
struct close_bracket : one<']'> {};
struct close_brace : one<'}'> {};
struct arguments : if_must<one<'('>, ws, opt<operand, ws, star<one<','>, ws, operand, ws>>, close_paren> {};
struct list : if_must<one<'['>, ws, opt<operand, ws, star<one<','>, ws, operand, ws>, opt<one<','>, ws>>,
                      close_bracket> {};
struct entry : if_must<operand, ws, one<':'>, ws, operand> {};
struct map
    : if_must<one<'{'>, ws, opt<entry, ws, star<one<','>, ws, entry, ws>, opt<one<','>, ws>>, close_brace> {};
struct parens : if_must<one<'('>, ws, operand, ws, close_paren> {};
struct call : seq<name, ws, arguments> {};
struct primary
    : sor<boolean, null, raw_text, long_text, plain_text, floating, integer, call, name, parens, list, map> {
};
struct select : if_must<seq<one<'.'>, not_at<digit>>, ws, member_name, opt<ws, arguments>> {};
struct index : if_must<one<'['>, ws, operand, ws, close_bracket> {};
struct member : seq<primary, star<ws, sor<select, index>>> {};
struct unary;
struct negation : seq<sor<one<'!'>, one<'-'>>, ws, must<unary>> {};
struct unary : sor<negation, member> {};
struct product_op : one<'*', '/', '%'> {};
struct product : seq<unary, star<ws, if_must<product_op, ws, unary>>> {};
struct sum_op : one<'+', '-'> {};
struct sum : seq<product, star<ws, if_must<sum_op, ws, product>>> {};
struct relation_op : sor<string<'<', '='>, string<'>', '='>, string<'=', '='>, string<'!', '='>,
                         one<'<', '>'>, word<'i', 'n'>> {};
struct relation : seq<sum, star<ws, if_must<relation_op, ws, sum>>> {};
struct conjunction : seq<relation, star<ws, if_must<string<'&', '&'>, ws, relation>>> {};
struct disjunction : seq<conjunction, star<ws, if_must<string<'|', '|'>, ws, conjunction>>> {};
struct conditional
    : seq<disjunction, opt<ws, if_must<one<'?'>, ws, disjunction, ws, one<':'>, ws, operand>>> {};
struct expr : seq<conditional> {};
struct whole : must<ws, operand, ws, eof> {};

struct messages {
  template <typename Rule>
  static constexpr const char* message = "an operand expected";
  template <typename Rule>
  static constexpr bool raise_on_failure = false;
};
template <>
inline constexpr const char* messages::message<eof> = "an operator or the end expected";
template <>
inline constexpr const char* messages::message<close_paren> = "')' expected";
template <>
inline constexpr const char* messages::message<close_bracket> = "']' expected";
template <>
inline constexpr const char* messages::message<close_brace> = "'}' expected";
template <>
inline constexpr const char* messages::message<one<':'>> = "':' expected";
template <>
inline constexpr const char* messages::message<member_name> = "a field's name expected";
template <>
inline constexpr const char* messages::message<one<'"'>> = "the text is not closed";
template <>
inline constexpr const char* messages::message<one<'\''>> = "the text is not closed";
template <typename Rule>
using control = must_if<messages, normal, false>::control<Rule>;

template <typename Rule>
struct action : nothing<Rule> {};
template <>
struct action<expr> : limit_depth<kMaxDepth> {};
template <>
struct action<unary> : limit_depth<2 * kMaxDepth> {};

template <typename Rule>
using selector = parse_tree::selector<
    Rule, parse_tree::store_content::on<boolean, null, name, member_name, floating, integer, raw_text,
                                        long_text, plain_text, arguments, list, entry, map, call, select,
                                        index, member, negation, product_op, product, sum_op, sum,
                                        relation_op, relation, conjunction, disjunction, conditional>>;
}  // namespace grammar

using Tree = pegtl::parse_tree::node;

[[noreturn]] void fail(std::size_t at, std::string what) { throw Errors({{at, std::move(what)}}); }

class Builder {
 public:
  explicit Builder(std::string_view text) : text_(text) {}

  [[nodiscard]] Node build(const Tree& t, int depth = 0) const {
    if (depth > kMaxDepth) fail(at(t), "nested more than " + std::to_string(kMaxDepth) + " deep");
    if (t.is_type<grammar::conditional>()) return conditional(t, depth);
    if (t.is_type<grammar::disjunction>()) return chain(t, Op::kOr, depth);
    if (t.is_type<grammar::conjunction>()) return chain(t, Op::kAnd, depth);
    if (t.is_type<grammar::relation>() || t.is_type<grammar::sum>() || t.is_type<grammar::product>())
      return left_to_right(t, depth);
    if (t.is_type<grammar::negation>()) return negation(t, depth);
    if (t.is_type<grammar::member>()) return member(t, depth);
    if (t.is_type<grammar::call>()) {
      Node call = node(Op::kCall, t);
      call.text = t.children[0]->string_view();
      add(call, *t.children[1], depth);
      return call;
    }
    if (t.is_type<grammar::list>()) return with_kids(Op::kList, t, depth);
    if (t.is_type<grammar::map>()) {
      Node map = node(Op::kMap, t);
      for (const auto& entry : t.children) add(map, *entry, depth);
      return map;
    }
    return literal(t);
  }

 private:
  [[nodiscard]] std::size_t at(const Tree& t) const {
    return static_cast<std::size_t>(t.string_view().data() - text_.data());
  }

  [[nodiscard]] Node node(Op op, const Tree& t) const {
    Node n;
    n.op = op;
    n.at = at(t);
    return n;
  }

  void add(Node& to, const Tree& t, int depth) const {
    for (const auto& kid : t.children) to.kids.push_back(build(*kid, depth + 1));
  }

  [[nodiscard]] Node with_kids(Op op, const Tree& t, int depth) const {
    Node n = node(op, t);
    add(n, t, depth);
    return n;
  }

  [[nodiscard]] Node conditional(const Tree& t, int depth) const {
    if (t.children.size() == 1) return build(*t.children.front(), depth);
    return with_kids(Op::kIf, t, depth);
  }

  [[nodiscard]] Node chain(const Tree& t, Op op, int depth) const {
    if (t.children.size() == 1) return build(*t.children.front(), depth);
    return with_kids(op, t, depth);
  }

  [[nodiscard]] Node left_to_right(const Tree& t, int depth) const {
    if (static_cast<int>(t.children.size()) / 2 + depth > kMaxDepth)
      fail(at(t), "nested more than " + std::to_string(kMaxDepth) + " deep");
    Node left = build(*t.children.front(), depth + 1);
    for (std::size_t i = 1; i + 1 < t.children.size(); i += 2) {
      Node both = node(operation(t.children[i]->string_view()), *t.children[i]);
      both.kids.push_back(std::move(left));
      both.kids.push_back(build(*t.children[i + 1], depth + 1));
      left = std::move(both);
    }
    return left;
  }

  static Op operation(std::string_view op) {
    constexpr std::array<std::pair<std::string_view, Op>, 12> kOps = {{{"==", Op::kEqual},
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
    for (const auto& [text, which] : kOps) {
      if (text == op) return which;
    }
    return Op::kEqual;
  }

  [[nodiscard]] Node negation(const Tree& t, int depth) const {
    const Tree& of = *t.children.back();
    const bool minus = t.string_view().front() == '-';
    // The least number has no positive one to be made from.
    if (minus && of.is_type<grammar::member>() && of.children.size() == 1 &&
        of.children.front()->is_type<grammar::integer>()) {
      Node minimum = literal(*of.children.front(), true);
      minimum.at = at(t);
      return minimum;
    }
    return with_kids(minus ? Op::kNegate : Op::kNot, t, depth);
  }

  [[nodiscard]] Node member(const Tree& t, int depth) const {
    if (static_cast<int>(t.children.size()) + depth > kMaxDepth)
      fail(at(t), "nested more than " + std::to_string(kMaxDepth) + " deep");
    Node left = build(*t.children.front(), depth + 1);
    for (std::size_t i = 1; i < t.children.size(); ++i) {
      const Tree& part = *t.children[i];
      Node next = node(Op::kIndex, part);
      if (part.is_type<grammar::select>()) {
        next.op = part.children.size() == 1 ? Op::kSelect : Op::kCall;
        next.text = part.children[0]->string_view();
        next.flag = true;  // a method
        next.kids.push_back(std::move(left));
        if (part.children.size() == 2) add(next, *part.children[1], depth);
      } else {
        next.kids.push_back(std::move(left));
        add(next, part, depth);
      }
      left = std::move(next);
    }
    return left;
  }

  [[nodiscard]] Node literal(const Tree& t, bool negative = false) const {
    const std::string_view s = t.string_view();
    if (t.is_type<grammar::name>()) {
      Node name = node(Op::kName, t);
      name.text = s;
      return name;
    }
    if (t.is_type<grammar::null>()) fail(at(t), "null is not offered: has() tells whether a field is there");
    Node n = node(Op::kLiteral, t);
    if (t.is_type<grammar::boolean>()) {
      n.type.kind = Kind::kBool;
      n.integer = s == "true" ? 1 : 0;
    } else if (t.is_type<grammar::integer>()) {
      n.type.kind = Kind::kInt;
      n.integer = integer(t, negative);
    } else if (t.is_type<grammar::floating>()) {
      n.type.kind = Kind::kDouble;
      const auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), n.real);
      if (error != std::errc() || !std::isfinite(n.real)) fail(at(t), "the number is out of range");
    } else {
      n.type.kind = Kind::kString;
      n.text = text(t);
    }
    return n;
  }

  [[nodiscard]] std::int64_t integer(const Tree& t, bool negative) const {
    const std::string_view s = t.string_view();
    const bool hexadecimal = s.starts_with("0x");
    std::uint64_t value = 0;
    const auto [end, error] =
        std::from_chars(s.data() + (hexadecimal ? 2 : 0), s.data() + s.size(), value, hexadecimal ? 16 : 10);
    if (error != std::errc() || value > static_cast<std::uint64_t>(INT64_MAX) + (negative ? 1 : 0))
      fail(at(t), "the number does not fit into 64 bits");
    return negative ? static_cast<std::int64_t>(0 - value) : static_cast<std::int64_t>(value);
  }

  [[nodiscard]] std::string text(const Tree& t) const {
    std::string_view s = t.string_view();
    if (t.is_type<grammar::raw_text>()) return std::string(s.substr(2, s.size() - 3));
    const std::size_t quotes = t.is_type<grammar::long_text>() ? 3 : 1;
    const std::size_t begin = at(t) + quotes;
    s = s.substr(quotes, s.size() - 2 * quotes);
    std::string out;
    for (std::size_t i = 0; i < s.size(); ++i) {
      if (s[i] != '\\') {
        out += s[i];
        continue;
      }
      const std::size_t where = begin + i;
      constexpr std::string_view kFrom = "abfnrtv\\?\"'`", kTo = "\a\b\f\n\r\t\v\\?\"'`";
      const char c = s[++i];
      if (const std::size_t k = kFrom.find(c); k != std::string_view::npos) {
        out += kTo[k];
        continue;
      }
      const std::size_t digits = c == 'x' || c == 'X'   ? 2
                                 : c == 'u'             ? 4
                                 : c == 'U'             ? 8
                                 : c >= '0' && c <= '3' ? 3
                                                        : 0;
      const bool octal = digits == 3;
      const std::string_view number = s.substr(octal ? i : i + 1, digits);
      std::uint32_t point = 0;
      const auto [end, error] =
          std::from_chars(number.data(), number.data() + number.size(), point, octal ? 8 : 16);
      const bool good = digits > 0 && number.size() == digits && error == std::errc() &&
                        end == number.data() + number.size() && point <= 0x10FFFF &&
                        (point < 0xD800 || point > 0xDFFF);
      if (!good) fail(where, "unknown escape in the text");
      cue::encode_utf8(out, point);
      i += octal ? 2 : digits;
    }
    return out;
  }

  std::string_view text_;
};

std::string join(const std::vector<Problem>& problems) {
  std::string text;
  for (const Problem& p : problems)
    text += (text.empty() ? "" : "; ") + ("at " + std::to_string(p.at + 1) + ": ") + p.what;
  return text;
}

std::string in_quotes(std::string_view s) {
  std::string out = "\"";
  for (const char c : s) {
    if (c == '"' || c == '\\') out += '\\';
    if (c == '\n') {
      out += "\\n";
    } else {
      out += c;
    }
  }
  return out + "\"";
}

const char* sign(Op op) {
  switch (op) {
    case Op::kAnd:
      return " && ";
    case Op::kOr:
      return " || ";
    case Op::kEqual:
      return " == ";
    case Op::kUnequal:
      return " != ";
    case Op::kLess:
      return " < ";
    case Op::kLessEqual:
      return " <= ";
    case Op::kGreater:
      return " > ";
    case Op::kGreaterEqual:
      return " >= ";
    case Op::kIn:
      return " in ";
    case Op::kAdd:
      return " + ";
    case Op::kSubtract:
      return " - ";
    case Op::kMultiply:
      return " * ";
    case Op::kDivide:
      return " / ";
    case Op::kRemainder:
      return " % ";
    default:
      return ", ";
  }
}

std::string listed(const std::vector<Node>& kids, const char* between, std::size_t from = 0) {
  std::string text;
  for (std::size_t i = from; i < kids.size(); ++i) text += (i == from ? "" : between) + to_text(kids[i]);
  return text;
}

}  // namespace

Errors::Errors(std::vector<Problem> all) : std::runtime_error(join(all)), problems(std::move(all)) {}

Node parse(std::string_view text) {
  if (text.size() > kMaxText) fail(0, "longer than " + std::to_string(kMaxText) + " bytes");
  if (const std::size_t bad = cue::invalid_utf8(text); bad != std::string_view::npos) fail(bad, "not UTF-8");
  pegtl::memory_input<pegtl::tracking_mode::lazy, pegtl::eol::lf_crlf, const char*> in(
      text.data(), text.data() + text.size(), "");
  try {
    const auto tree =
        pegtl::parse_tree::parse<grammar::whole, Tree, grammar::selector, grammar::action, grammar::control>(
            in);
    return Builder(text).build(*tree->children.front());
  } catch (const pegtl::parse_error& e) {
    fail(e.positions().front().byte, std::string(e.message()));
  }
}

std::string to_text(const Node& n) {
  const auto kid = [&](std::size_t i) { return to_text(n.kids[i]); };
  switch (n.op) {
    case Op::kLiteral:
      if (n.type.kind == Kind::kString) return in_quotes(n.text);
      if (n.type.kind == Kind::kBool) return n.integer != 0 ? "true" : "false";
      if (n.type.kind == Kind::kInt) return std::to_string(n.integer);
      {
        std::string real = to_text(Value::of(n.real));
        if (real.find_first_of(".en") == std::string::npos) real += ".0";  // 2 would be an int
        return real;
      }
    case Op::kName:
    case Op::kField:
      return n.text;
    case Op::kPresent:
      return "has(" + n.text + ")";
    case Op::kSelect:
      return kid(0) + "." + n.text;
    case Op::kCall:
      if (n.flag) return kid(0) + "." + n.text + "(" + listed(n.kids, ", ", 1) + ")";
      return n.text + "(" + listed(n.kids, ", ") + ")";
    case Op::kIndex:
      return kid(0) + "[" + kid(1) + "]";
    case Op::kList:
      return "[" + listed(n.kids, ", ") + "]";
    case Op::kMap: {
      std::string text = "{";
      for (std::size_t i = 0; i + 1 < n.kids.size(); i += 2)
        text += (i == 0 ? "" : ", ") + kid(i) + ": " + kid(i + 1);
      return text + "}";
    }
    case Op::kNot:
      return "!" + kid(0);
    case Op::kNegate:
      return "-" + kid(0);
    case Op::kIf:
      return "(" + kid(0) + " ? " + kid(1) + " : " + kid(2) + ")";
    default:
      return "(" + listed(n.kids, sign(n.op)) + ")";
  }
}

}  // namespace dispatcher::expression
