#include "cue/syntax.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/limit_depth.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "cue/utf8.hpp"

namespace dispatcher::cue {

namespace {

namespace pegtl = tao::pegtl;

namespace grammar {
using namespace tao::pegtl;

// A line's end stands for a comma, as in CUE: so what may hold one (`gap`) and what may not (`same_line`)
// differ.
struct comment : seq<string<'/', '/'>, star<not_at<eolf>, any>> {};
struct same_line : star<one<' ', '\t', '\r'>> {};
struct gap : star<sor<one<' ', '\t', '\r', '\n'>, comment>> {};
struct separator : seq<same_line, sor<one<','>, seq<opt<comment>, one<'\n'>>>, gap> {};

struct expr;
struct word_end : not_at<sor<alnum, one<'_', '$'>>> {};
template <char... C>
struct word : seq<string<C...>, word_end> {};

struct null : word<'n', 'u', 'l', 'l'> {};
struct boolean : sor<word<'t', 'r', 'u', 'e'>, word<'f', 'a', 'l', 's', 'e'>> {};
struct type : sor<word<'b', 'o', 'o', 'l'>, word<'i', 'n', 't'>, word<'f', 'l', 'o', 'a', 't'>,
                  word<'n', 'u', 'm', 'b', 'e', 'r'>, word<'s', 't', 'r', 'i', 'n', 'g'>> {};
struct bottom : string<'_', '|', '_'> {};
struct top : seq<one<'_'>, not_at<sor<alnum, one<'_', '$', '#'>>>> {};
struct reference : seq<one<'#', '_'>, sor<alpha, one<'_', '$'>>, star<sor<alnum, one<'_', '$'>>>> {};
struct identifier : seq<sor<alpha, one<'$'>>, star<sor<alnum, one<'_', '$'>>>> {};

struct digits : seq<digit, star<opt<one<'_'>>, digit>> {};
struct fraction : seq<one<'.'>, digits> {};
struct exponent : seq<one<'e', 'E'>, opt<one<'+', '-'>>, digits> {};
struct number_end : not_at<sor<alnum, one<'_', '.', '$'>>> {};
struct floating
    : seq<sor<seq<digits, sor<seq<fraction, opt<exponent>>, exponent>>, seq<fraction, opt<exponent>>>,
          number_end> {};
struct hexadecimal : seq<string<'0', 'x'>, xdigit, star<opt<one<'_'>>, xdigit>> {};
struct multiplier : seq<one<'K', 'M', 'G', 'T'>, opt<one<'i'>>> {};
struct integer : seq<sor<hexadecimal, seq<digits, opt<multiplier>>>, number_end> {};

struct quote : one<'"'> {};
struct triple : string<'"', '"', '"'> {};
struct raw_triple_end : string<'"', '"', '"', '#'> {};
struct plain_string
    : if_must<quote, star<sor<seq<one<'\\'>, not_one<'\n'>>, not_one<'"', '\\', '\n'>>>, quote> {};
struct raw_string : seq<string<'#', '"'>, not_at<string<'"', '"'>>, until<string<'"', '#'>, not_one<'\n'>>> {
};
struct long_string : if_must<triple, until<triple, sor<seq<one<'\\'>, any>, any>>> {};
struct raw_long_string : if_must<string<'#', '"', '"', '"'>, until<raw_triple_end>> {};
struct text : sor<long_string, plain_string, raw_long_string, raw_string> {};

struct optional_mark : one<'?'> {};
struct ellipsis : string<'.', '.', '.'> {};
struct value : seq<expr> {};
struct pattern : if_must<one<'['>, gap, value, same_line, one<']'>> {};
struct name : sor<identifier, reference> {};
struct label : sor<name, text> {};
struct colon : one<':'> {};
struct field_value;
struct named_field : seq<label, same_line, opt<optional_mark, same_line>, if_must<colon, gap, field_value>> {
};
struct pattern_field : if_must<pattern, same_line, colon, gap, field_value> {};
struct field : sor<pattern_field, named_field> {};
struct chain_ahead : at<label, same_line, opt<optional_mark, same_line>, colon> {};
struct field_value : sor<seq<chain_ahead, field>, value> {};
struct decl : sor<ellipsis, field> {};
struct decls : opt<decl, star<separator, decl>, opt<separator>> {};
struct close_brace : one<'}'> {};
struct close_bracket : one<']'> {};
struct close_paren : one<')'> {};
struct structure : if_must<one<'{'>, gap, decls, gap, close_brace> {};
struct rest : seq<ellipsis, opt<same_line, expr>> {};
struct element : sor<rest, expr> {};
struct list
    : if_must<one<'['>, gap, opt<element, star<separator, element>, opt<separator>>, gap, close_bracket> {};
struct parens : if_must<one<'('>, gap, value, same_line, close_paren> {};
struct primary
    : sor<structure, list, parens, bottom, null, boolean, type, text, floating, integer, top, reference> {};
struct op : sor<string<'>', '='>, string<'<', '='>, string<'!', '='>, string<'=', '~'>, string<'!', '~'>,
                one<'>'>, one<'<'>, one<'-'>, one<'+'>> {};
struct unary;
struct operation : if_must<op, gap, unary> {};
struct unary : sor<operation, primary> {};
struct conjunction : seq<unary, star<same_line, if_must<one<'&'>, gap, unary>>> {};
struct default_mark : if_must<one<'*'>, gap, unary> {};
struct disjunct : sor<default_mark, conjunction> {};
struct disjunction : seq<disjunct, star<same_line, if_must<one<'|'>, gap, disjunct>>> {};
// Most values are one text or number; without the way through all operators they are read in half the time.
struct simple : seq<sor<text, integer>, same_line, at<one<',', '\n', '}', ']'>>> {};
struct expr : sor<simple, disjunction> {};

struct file_struct : seq<structure, gap, eof> {};
struct top_decl : if_must<success, decl, sor<separator, seq<gap, eof>>> {};

template <typename>
inline constexpr const char* expected = nullptr;
template <>
inline constexpr const char* expected<value> = "a value expected";
template <>
inline constexpr const char* expected<field_value> = "a value expected";
template <>
inline constexpr const char* expected<unary> = "a value expected";
template <>
inline constexpr const char* expected<disjunct> = "a value expected";
template <>
inline constexpr const char* expected<decls> = "a field expected";
template <>
inline constexpr const char* expected<decl> = "a field expected: label, ':' and value";
template <>
inline constexpr const char* expected<close_brace> = "a field or '}' expected";
template <>
inline constexpr const char* expected<close_bracket> = "a value or ']' expected";
template <>
inline constexpr const char* expected<one<']'>> = "']' expected";
template <>
inline constexpr const char* expected<close_paren> = "')' expected";
template <>
inline constexpr const char* expected<colon> = "':' expected";
template <>
inline constexpr const char* expected<quote> = "the text is not closed on its line";
template <>
inline constexpr const char* expected<until<triple, sor<seq<one<'\\'>, any>, any>>> =
    "the text is not closed";
template <>
inline constexpr const char* expected<until<raw_triple_end>> = "the text is not closed";
template <>
inline constexpr const char* expected<sor<separator, seq<gap, eof>>> = "a comma or the line's end expected";
template <>
inline constexpr const char* expected<same_line> = "unexpected";
template <>
inline constexpr const char* expected<gap> = "unexpected";

struct messages {
  template <typename Rule>
  static constexpr const char* message = expected<Rule>;
  template <typename Rule>
  static constexpr bool raise_on_failure = false;
};
template <typename Rule>
using control = must_if<messages, normal, false>::control<Rule>;

template <typename Rule>
struct action : nothing<Rule> {};
template <>
struct action<expr> : limit_depth<kMaxNesting> {};
template <>
struct action<value> : limit_depth<kMaxNesting> {};
template <>
struct action<unary> : limit_depth<2 * kMaxNesting> {};
template <>
struct action<field> : limit_depth<kMaxNesting> {};

template <typename Rule>
using selector = parse_tree::selector<
    Rule, parse_tree::store_content::on<
              null, boolean, type, bottom, top, reference, identifier, floating, integer, plain_string,
              raw_string, long_string, raw_long_string, optional_mark, ellipsis, pattern, named_field,
              pattern_field, structure, rest, list, op, operation, conjunction, default_mark, disjunction>>;
}  // namespace grammar

using Node = pegtl::parse_tree::node;

// Errors end the reading of one field, never that of the file.
struct Fault {
  const char* at;
  std::string what;
};

// ---- text and numbers ----

void append_utf8(std::string& out, std::uint32_t c, const char* at) {
  if (c > 0x10FFFF || (c >= 0xD800 && c <= 0xDFFF)) throw Fault{at, "no such character"};
  encode_utf8(out, c);
}

std::uint32_t hex(std::string_view digits, const char* at) {
  std::uint32_t value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  if (error != std::errc() || end != digits.data() + digits.size() || digits.empty())
    throw Fault{at, "hexadecimal digits expected after the backslash"};
  return value;
}

std::string unescape(std::string_view s) {
  std::string out;
  for (std::size_t i = 0; i < s.size(); ++i) {
    if (s[i] != '\\') {
      out += s[i];
      continue;
    }
    const char* at = s.data() + i;
    constexpr std::string_view kFrom = "abfnrtv\\/\"'", kTo = "\a\b\f\n\r\t\v\\/\"'";
    const char c = s[++i];
    if (const std::size_t k = kFrom.find(c); k != std::string_view::npos) {
      out += kTo[k];
    } else if (c == 'u' || c == 'U') {
      const std::size_t length = c == 'u' ? 4 : 8;
      std::uint32_t point = hex(s.substr(i + 1, length), at);
      if (s.size() - i - 1 < length) throw Fault{at, "hexadecimal digits expected after the backslash"};
      i += length;
      // JSON writes what lies beyond 16 bits as two halves.
      if (point >= 0xD800 && point < 0xDC00 && s.substr(i + 1).starts_with("\\u") && s.size() - i > 6) {
        const std::uint32_t low = hex(s.substr(i + 3, 4), at);
        if (low >= 0xDC00 && low < 0xE000) {
          point = 0x10000 + ((point - 0xD800) << 10U) + (low - 0xDC00);
          i += 6;
        }
      }
      append_utf8(out, point, at);
    } else {
      throw Fault{at, c == '(' ? "interpolation is not offered" : "unknown escape in the text"};
    }
  }
  return out;
}

// Several lines: the first one is empty, and the blanks before the closing quotes go from each line.
std::string dedent(std::string_view s) {
  const char* at = s.data();
  if (s.starts_with('\r')) s.remove_prefix(1);
  if (!s.starts_with('\n')) throw Fault{at, "a line's end expected after the opening quotes"};
  const std::size_t last = s.rfind('\n');
  const std::string_view indent = s.substr(last + 1);
  if (indent.find_first_not_of(" \t") != std::string_view::npos)
    throw Fault{at, "the closing quotes must stand on a line of their own"};
  std::string out;
  for (std::size_t begin = 1; begin <= last;) {
    const std::size_t end = s.find('\n', begin);
    std::string_view line = s.substr(begin, end - begin);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.starts_with(indent)) {
      line.remove_prefix(indent.size());
    } else if (!line.empty()) {
      throw Fault{s.data() + begin, "a line is indented less than the closing quotes"};
    }
    if (begin > 1) out += '\n';
    out += line;
    begin = end + 1;
  }
  return out;
}

std::string text_of(const Node& node) {
  std::string_view s = node.string_view();
  const auto within = [&](std::size_t n) { return s.substr(n, s.size() - 2 * n); };
  if (node.is_type<grammar::plain_string>()) return unescape(within(1));
  if (node.is_type<grammar::raw_string>()) return std::string(within(2));
  if (node.is_type<grammar::raw_long_string>()) return dedent(within(4));
  try {
    return unescape(dedent(within(3)));
  } catch (Fault& fault) {
    fault.at = s.data();  // the text without its indent stands elsewhere
    throw;
  }
}

bool is_text(const Node& node) {
  return node.is_type<grammar::plain_string>() || node.is_type<grammar::raw_string>() ||
         node.is_type<grammar::long_string>() || node.is_type<grammar::raw_long_string>();
}

std::string without_underscores(std::string_view s) {
  std::string digits(s);
  std::erase(digits, '_');
  return digits;
}

std::int64_t integer_of(std::string_view source, bool negative) {
  const std::string s = without_underscores(source);
  const bool hexadecimal = s.starts_with("0x");
  if (!hexadecimal && s.size() > 1 && s[0] == '0' && std::isdigit(static_cast<unsigned char>(s[1])) != 0)
    throw Fault{source.data(), "a number may not begin with 0"};
  std::uint64_t value = 0;
  const char* begin = s.data() + (hexadecimal ? 2 : 0);
  const auto [end, error] = std::from_chars(begin, s.data() + s.size(), value, hexadecimal ? 16 : 10);
  bool fits = error == std::errc();
  if (const std::string_view unit(end, static_cast<std::size_t>(s.data() + s.size() - end)); !unit.empty()) {
    const std::uint64_t base = unit.size() == 2 ? 1024 : 1000;
    for (std::size_t i = 0; i <= std::string_view("KMGT").find(unit[0]); ++i)
      fits = !__builtin_mul_overflow(value, base, &value) && fits;
  }
  const std::uint64_t maximum = static_cast<std::uint64_t>(INT64_MAX) + (negative ? 1 : 0);
  if (!fits || value > maximum) throw Fault{source.data(), "the number does not fit into 64 bits"};
  return negative ? static_cast<std::int64_t>(0 - value) : static_cast<std::int64_t>(value);
}

double real_of(std::string_view source) {
  const std::string s = without_underscores(source);
  double value = 0;
  const auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value);
  if (error != std::errc() || end != s.data() + s.size() || !std::isfinite(value))
    throw Fault{source.data(), "the number is out of range"};
  return value;
}

// ---- the tree ----

class Builder {
 public:
  // Lines are those of `original`; what is asked about lies in `text`, of the same length.
  Builder(std::string_view original, std::string_view text) : text_(text) {
    for (std::size_t i = 0; i < original.size(); ++i) {
      if (original[i] == '\n') lines_.push_back(i + 1);
    }
  }

  Position position(const char* at) const {
    const auto offset = static_cast<std::size_t>(at - text_.data());
    const auto line = std::upper_bound(lines_.begin(), lines_.end(), offset) - 1;
    return {static_cast<std::uint32_t>(line - lines_.begin() + 1),
            static_cast<std::uint32_t>(offset - *line + 1)};
  }

  [[nodiscard]] Expr::Field field(const Node& node) const {
    Expr::Field field;
    const Node& label = *node.children.front();
    field.at = position(label.string_view().data());
    if (node.is_type<grammar::pattern_field>()) {
      field.kind = Expr::Field::Kind::kPattern;
      const Expr over = expr(*label.children.front());
      if (over.kind != Syntax::kType || over.text != "string")
        throw Fault{label.string_view().data(), "only [string] is offered as a pattern"};
    } else {
      field.label = is_text(label) ? text_of(label) : std::string(label.string_view());
      if (label.is_type<grammar::reference>()) field.kind = Expr::Field::Kind::kDefinition;
      if (node.children[1]->is_type<grammar::optional_mark>()) {
        if (field.kind == Expr::Field::Kind::kDefinition)
          throw Fault{label.string_view().data(), "a definition can't be optional"};
        field.kind = Expr::Field::Kind::kOptional;
      }
    }
    const Node& value = *node.children.back();
    if (is_field(value)) {  // a: b: 1
      Expr inner;
      inner.kind = Syntax::kStruct;
      inner.at = position(value.string_view().data());
      inner.fields.push_back(this->field(value));
      field.value.push_back(std::move(inner));
    } else {
      field.value.push_back(expr(value));
    }
    return field;
  }

  void declare(Expr& structure, const Node& node) const {
    if (node.is_type<grammar::ellipsis>()) {
      structure.open = true;
    } else {
      structure.fields.push_back(field(node));
    }
  }

  [[nodiscard]] Expr expr(const Node& node) const {
    if (node.is_type<grammar::disjunction>() || node.is_type<grammar::conjunction>()) {
      const bool any = node.is_type<grammar::disjunction>();
      if (node.children.size() == 1) {
        const Node& only = *node.children.front();
        if (only.is_type<grammar::default_mark>())
          throw Fault{only.string_view().data(), "'*' marks one of several alternatives"};
        return expr(only);
      }
      return kids(any ? Syntax::kOr : Syntax::kAnd, node);
    }
    if (node.is_type<grammar::default_mark>()) return kids(Syntax::kDefault, node);
    if (node.is_type<grammar::operation>()) return operation(node);
    if (node.is_type<grammar::structure>()) {
      Expr e = at(Syntax::kStruct, node);
      for (const auto& child : node.children) declare(e, *child);
      return e;
    }
    if (node.is_type<grammar::list>()) return list(node);
    return leaf(node);
  }

 private:
  static bool is_field(const Node& node) {
    return node.is_type<grammar::named_field>() || node.is_type<grammar::pattern_field>();
  }

  [[nodiscard]] Expr at(Syntax kind, const Node& node) const {
    Expr e;
    e.kind = kind;
    e.at = position(node.string_view().data());
    return e;
  }

  [[nodiscard]] Expr kids(Syntax kind, const Node& node) const {
    Expr e = at(kind, node);
    for (const auto& child : node.children) e.kids.push_back(expr(*child));
    return e;
  }

  [[nodiscard]] Expr operation(const Node& node) const {
    const std::string_view op = node.children[0]->string_view();
    const Node& operand = *node.children[1];
    if (op == "-" || op == "+") {
      const bool negative = op == "-";
      Expr e = at(Syntax::kInt, node);
      if (operand.is_type<grammar::integer>()) {
        e.integer = integer_of(operand.string_view(), negative);
      } else if (operand.is_type<grammar::floating>()) {
        e.kind = Syntax::kFloat;
        e.real = real_of(operand.string_view()) * (negative ? -1 : 1);
      } else {
        throw Fault{op.data(), "a number expected after '" + std::string(op) + "'"};
      }
      return e;
    }
    Expr e = at(Syntax::kBound, node);
    e.text = op;
    e.kids.push_back(expr(operand));
    const Syntax kind = e.kids[0].kind;
    const bool regex = op == "=~" || op == "!~";
    const bool plain = kind == Syntax::kInt || kind == Syntax::kFloat || kind == Syntax::kString ||
                       (op == "!=" && (kind == Syntax::kNull || kind == Syntax::kBool));
    if (!plain || (regex && kind != Syntax::kString))
      throw Fault{operand.string_view().data(), regex ? "text expected" : "a number or text expected"};
    return e;
  }

  [[nodiscard]] Expr list(const Node& node) const {
    Expr e = at(Syntax::kList, node);
    for (const auto& child : node.children) {
      if (e.open) throw Fault{child->string_view().data(), "'...' must be the last of its list"};
      if (!child->is_type<grammar::rest>()) {
        e.kids.push_back(expr(*child));
        continue;
      }
      e.open = true;
      if (child->children.size() == 1) {
        e.kids.push_back(at(Syntax::kTop, *child));
      } else {
        e.kids.push_back(expr(*child->children.back()));
      }
    }
    return e;
  }

  [[nodiscard]] Expr leaf(const Node& node) const {
    const std::string_view s = node.string_view();
    Expr e = at(Syntax::kString, node);
    if (is_text(node)) {
      e.text = text_of(node);
    } else if (node.is_type<grammar::integer>()) {
      e.kind = Syntax::kInt;
      e.integer = integer_of(s, false);
    } else if (node.is_type<grammar::floating>()) {
      e.kind = Syntax::kFloat;
      e.real = real_of(s);
    } else if (node.is_type<grammar::boolean>()) {
      e.kind = Syntax::kBool;
      e.integer = s == "true" ? 1 : 0;
    } else if (node.is_type<grammar::null>()) {
      e.kind = Syntax::kNull;
    } else if (node.is_type<grammar::top>()) {
      e.kind = Syntax::kTop;
    } else if (node.is_type<grammar::bottom>()) {
      e.kind = Syntax::kBottom;
    } else {
      e.kind = node.is_type<grammar::type>() ? Syntax::kType : Syntax::kReference;
      e.text = s;
    }
    return e;
  }

  std::string_view text_;
  std::vector<std::size_t> lines_{0};
};

using Input = pegtl::memory_input<pegtl::tracking_mode::lazy, pegtl::eol::lf_crlf, const char*>;

class Reading {
 public:
  // `same`: where the grammar reads, as long as `original`, by which positions are told.
  Reading(std::string_view original, std::string_view same) : text_(same), builder_(original, same) {
    whole_.kind = Syntax::kStruct;
    whole_.at = {1, 1};
  }

  Expr read() {
    const char* at = skip_gap(text_.data());
    if (at != end() && *at == '{') {
      guarded([&] {
        const auto tree = parse<pegtl::must<grammar::structure, grammar::gap, pegtl::eof>>(at);
        whole_ = builder_.expr(*tree->children.front());
      });
      return std::move(whole_);
    }
    while (at != end()) at = field(at);
    return std::move(whole_);
  }
  std::vector<Problem> problems;

 private:
  [[nodiscard]] const char* end() const { return text_.data() + text_.size(); }

  const char* skip_gap(const char* at) const {
    Input in(at, end(), "");
    pegtl::parse<grammar::gap>(in);
    return in.current();
  }

  template <typename Rule>
  std::unique_ptr<Node> parse(const char*& at) {
    Input in(at, end(), "");
    failed_ = at;
    try {
      auto tree =
          pegtl::parse_tree::parse<Rule, Node, grammar::selector, grammar::action, grammar::control>(in);
      at = in.current();
      return tree;
    } catch (const pegtl::parse_error& e) {
      const auto& position = e.positions().front();
      throw Fault{failed_ + position.byte, std::string(e.message())};
    }
  }

  template <class Action>
  bool guarded(Action action) {
    try {
      action();
      return true;
    } catch (const Fault& fault) {
      const bool ours = fault.at >= text_.data() && fault.at <= end();
      problems.push_back(
          {builder_.position(ours ? fault.at : text_.data()), {}, fault.what + found(fault.at)});
      return false;
    }
  }

  std::string found(const char* at) const {
    if (at >= end()) return ", found the file's end";
    if (at < text_.data()) return {};
    const std::string_view rest(at, static_cast<std::size_t>(end() - at));
    const std::string_view word = rest.substr(0, std::min<std::size_t>(rest.find_first_of(" \t\r\n"), 24));
    return word.empty() ? ", found the line's end" : ", found '" + clip_utf8(word, 24) + "'";
  }

  const char* field(const char* at) {
    const char* next = at;
    const bool good = guarded([&] {
      const auto tree = parse<grammar::top_decl>(next);
      builder_.declare(whole_, *tree->children.front());
    });
    return skip_gap(good ? next : next_field(at));
  }

  // After a fault: the next line that begins with a label in its first column.
  const char* next_field(const char* at) const {
    while ((at = std::find(at, end(), '\n')) != end()) {
      ++at;
      if (at != end() &&
          (std::isalpha(static_cast<unsigned char>(*at)) != 0 || *at == '#' || *at == '_' || *at == '"'))
        return at;
    }
    return end();
  }

  std::string_view text_;
  Builder builder_;
  Expr whole_;
  const char* failed_ = nullptr;
};

}  // namespace

std::string to_text(const std::string& file, const Problem& problem) {
  std::string text = file;
  if (problem.at.in_file())
    text += ":" + std::to_string(problem.at.line) + ":" + std::to_string(problem.at.column);
  if (!problem.path.empty()) text += ": " + problem.path;
  return text + ": " + problem.what;
}

namespace {
std::string join(const std::string& file, const std::vector<Problem>& problems) {
  std::string text;
  for (const Problem& p : problems) text += (text.empty() ? "" : "\n") + to_text(file, p);
  return text;
}
}  // namespace

Errors::Errors(const std::string& file, std::vector<Problem> all)
    : std::runtime_error(join(file, all)), problems(std::move(all)) {}

Expr parse(const File& file) {
  if (file.text.size() > kMaxBytes)
    throw Errors(file.name, {{{}, {}, "larger than " + std::to_string(kMaxBytes) + " bytes"}});
  if (const std::size_t bad = invalid_utf8(file.text); bad != std::string::npos)
    throw Errors(
        file.name,
        {{Builder(file.text, file.text).position(file.text.data() + bad), {}, "not UTF-8 from here on"}});
  // In JSON a line's end is nothing but white space, also before a comma; the grammar takes it for one.
  std::string text = file.text;
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first != std::string::npos && text[first] == '{' && nlohmann::json::accept(text))
    std::replace(text.begin(), text.end(), '\n', '\r');
  Reading reading(file.text, text);
  Expr whole = reading.read();
  if (!reading.problems.empty()) throw Errors(file.name, std::move(reading.problems));
  return whole;
}

}  // namespace dispatcher::cue
