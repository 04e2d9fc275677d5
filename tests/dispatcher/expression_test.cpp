// Expressions: types, meanings, bounds, and that the compiled program says what a plain walk of the tree
// says.
#include <re2/re2.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "allocations.hpp"
#include "expression/check.hpp"
#include "expression/first_match.hpp"
#include "expression/program.hpp"

namespace dispatcher::testing {
namespace {

using namespace expression;

Environment make_fields() {
  Environment e;
  e.add({"request.class", Kind::kString, false, 64});
  e.add({"request.account", Kind::kString, false, 64});
  e.add({"request.tokens", Kind::kInt, false, 0});
  e.add({"request.share", Kind::kDouble, false, 0});
  e.add({"request.retry", Kind::kBool, false, 0});
  e.add({"request.session", Kind::kString, true, 32});
  e.add({"header.tier", Kind::kString, true, 16});
  e.add({"header.weight", Kind::kInt, true, 0});
  return e;
}
const Environment kFields = make_fields();

std::vector<Value> request() {
  return {Value::of("ask"),    Value::of("acme"),        Value::of(std::int64_t{1200}),
          Value::of(0.5),      Value::of(true),          Value::of(Fault::kAbsent),
          Value::of("gold-1"), Value::of(Fault::kAbsent)};
}

Kind kind_of(const std::string& text) {
  for (const Kind k : {Kind::kBool, Kind::kInt, Kind::kDouble, Kind::kString}) {
    try {
      check(text, kFields, k);
      return k;
    } catch (const Errors& e) {
      if (std::string(e.what()).find("found " + std::string(name(k))) != std::string::npos) continue;
    }
  }
  return Kind::kError;
}

std::string result(const std::string& text) {
  for (const Kind k : {Kind::kBool, Kind::kInt, Kind::kDouble, Kind::kString}) {
    try {
      const Program p = Program::compile(text, kFields, k);
      Scratch scratch;
      scratch.reserve(p.max_values(), p.max_text());
      const auto fields = request();
      return to_text(p.run(fields, scratch));
    } catch (const Errors& e) {
      if (std::string(e.what()).find("expected " + std::string(name(k))) == std::string::npos)
        return e.what();
    }
  }
  return "?";
}

TEST_CASE("expressions mean what CEL has them mean", "[match]") {
  for (const auto& [text, wanted] : std::vector<std::pair<std::string, std::string>>{
           {"1 + 2 * 3", "7"},
           {"(1 + 2) * 3 - -4", "13"},
           {"7 / 2 * 2 + 7 % 2", "7"},
           {"-7 / 2", "-3"},
           {"0x1F", "31"},
           {"1.5 + .5", "2"},
           {"-9223372036854775808", "-9223372036854775808"},
           {"\"a\" + 'b' + r'\\d' + '''c\"'''", "\"ab\\dc\"\""},
           {"'\\x41\\u00e9\\101\\n' == 'A\xC3\xA9\x41\\n'", "true"},
           {"size('\xC3\xA9\xF0\x9F\x98\x80x')", "3"},
           {"'abc'.size() == 3 && size([1, 2]) == 2 && size({'a': 1}) == 1", "true"},
           {"request.class == 'ask' && request.tokens > 1000", "true"},
           {"request.class in ['command', 'ask']", "true"},
           {"request.tokens in [1, 1200, 3]", "true"},
           {"request.account in [request.class, 'acme']", "true"},
           {"'x' in []", "false"},
           {"{'acme': 5, 'b': 6}[request.account]", "5"},
           {"{'acme': 5}.acme", "5"},
           {"'zz' in {'acme': 5}", "false"},
           {"['a', 'b'][1]", "\"b\""},
           {"'abc' < 'abd' && 'b' >= 'abc' && 1.0 < 2.0", "true"},
           {"request.account.startsWith('ac') && request.account.endsWith('me')", "true"},
           {"request.account.contains('cm') && !request.account.contains(request.class)", "true"},
           {"request.account.matches('^a.*e$') && matches(request.account, 'c')", "true"},
           {"[1, 2, 3].exists(x, x * 600 == request.tokens)", "true"},
           {"[1, 2, 3].all(x, x < 3 || request.retry)", "true"},
           {"['a', request.account].exists(x, ['acme'].exists(y, x == y))", "true"},
           {"[1].exists(request, request == 1)", "true"},
           {"request.retry ? 'again' : 'first'", "\"again\""},
           {"int('12') + int(3.9) + int(-3.9)", "12"},
           {"double('1.5') * double(2)", "3"},
           {"string(12) + string(1.5) + string('x')", "\"121.5x\""},
           {"has(request.session) || has(header.tier)", "true"},
           {"has(request.class)", "true"},
           {"true // the end", "true"}}) {
    INFO(text);
    CHECK(result(text) == wanted);
  }
}

TEST_CASE("what has no value ends in a fault, and logic absorbs it as CEL does", "[match]") {
  const std::string absent = "none: a field that the request lacks", overflow = "none: overflow";
  for (const auto& [text, wanted] : std::vector<std::pair<std::string, std::string>>{
           {"request.session == 'x'", absent},
           {"request.session == 'x' && request.retry", absent},
           {"request.session == 'x' && false", "false"},
           {"false && request.session == 'x'", "false"},
           {"request.session == 'x' || true", "true"},
           {"request.session == 'x' || false", absent},
           {"1 / 0 == 1 || request.session == 'x'", "none: division by zero"},
           {"request.session == 'x' && 1 / 0 == 1 && false", "false"},
           {"!(request.session == 'x')", absent},
           {"request.session == 'x' ? 1 : 2", absent},
           {"request.retry ? 1 : header.weight", "1"},
           {"has(request.session) && request.session.startsWith('a')", "false"},
           {"1 % 0", "none: division by zero"},
           {"1.0 / 0.0 > 1.0e300", "true"},
           {"9223372036854775807 + 1", overflow},
           {"-9223372036854775808 - 1", overflow},
           {"-9223372036854775808 / -1", overflow},
           {"-9223372036854775808 % -1", overflow},
           {"-(-9223372036854775808)", overflow},
           {"4611686018427387904 * 2", overflow},
           {"int(1.0e19)", overflow},
           {"int('12x')", "none: a text that is no number"},
           {"int('')", "none: a text that is no number"},
           {"double('" + std::string(65, '1') + "')", "none: a text that is no number"},
           {"{'a': 1}['b']", "none: a key that the map lacks"},
           {"[1][1]", "none: an index past the list's end"},
           {"[1][-1]", "none: an index past the list's end"},
           {"[true, false].exists(x, x ? request.session == 'x' : true)", "true"},
           {"[1, 2].all(x, x / (x - 1) > 0 && false)", "false"}}) {
    INFO(text);
    CHECK(result(text) == wanted);
  }
}

TEST_CASE("bad expressions are turned down at load, with their place", "[match]") {
  for (const auto& [text, wanted] : std::vector<std::pair<std::string, std::string>>{
           {"request.clas == 'x'", "at 1: unknown field 'request.clas'; 'request.class' is known"},
           {"nobody", "at 1: unknown field 'nobody'"},
           {"1 + 1.0", "at 3: '+' is not offered for int and double"},
           {"request.tokens == 'x'", "at 16: '==' is not offered for int and string"},
           {"'a' < 1 || 2 && true",
            "at 5: '<' is not offered for string and int; at 12: '&&' is not offered for int and bool"},
           {"!1", "at 1: '!' is not offered for int"},
           {"-'a'", "at 1: '-' is not offered for string"},
           {"true < false", "at 6: '<' is not offered for bool and bool"},
           {"true ? 1 : 'a'", "at 1: '?:' is not offered for bool and int and string"},
           {"1 in ['a']", "at 3: 'in' is not offered for int and list(string)"},
           {"[1, 'a'][0]", "at 5: a list holds values of one type: int and string"},
           {"size([request.tokens])", "at 7: only constants are offered in a list that stands here"},
           {"{'a': 1, 'a': 2}['a']", "at 10: the key stands twice"},
           {"{1.5: 1}[1.5]", "at 2: the keys of a map are int or string"},
           {"has(request)", "at 1: has() takes one field, such as has(request.session)"},
           {"has(request.nothing)", "at 5: unknown field 'request.nothing'"},
           {"request.class.startWith('a')", "at 14: unknown function 'startWith'; 'startsWith' is known"},
           {"'a'.startsWith(1)", "at 4: 'startsWith' is not offered for (string, int)"},
           {"'a'.matches(request.class)", "at 13: the pattern of matches() must be a constant"},
           {"'a'.matches('(')", "at 13: missing ): ("},
           {"'a'.matches('\\\\bx')", "at 13: '\\b' is not offered"},
           {"request.tokens.exists(x, true)", "at 15: 'exists' is offered for lists that are written out"},
           {"[1].exists(x, x)", "at 15: a condition is a bool, not int"},
           {"null", "at 1: null is not offered: has() tells whether a field is there"},
           {"1 +", "at 4: an operand expected"},
           {"(1", "at 3: ')' expected"},
           {"'a", "at 3: the text is not closed"},
           {"1 2", "at 3: an operator or the end expected"},
           {"9223372036854775808", "at 1: the number does not fit into 64 bits"},
           {"'\\q'", "at 2: unknown escape in the text"},
           {"1u", "at 1: an operand expected"},
           {"", "at 1: an operand expected"},
           {"'\xff'", "at 2: not UTF-8"}}) {
    INFO(text);
    CHECK(result(text) == wanted);
  }
  CHECK(kind_of("request.tokens + 1") == Kind::kInt);
}

TEST_CASE("deep, long and multiplying expressions are turned down, not followed", "[match]") {
  const auto repeat = [](const std::string& s, int n) {
    std::string all;
    for (int i = 0; i < n; ++i) all += s;
    return all;
  };
  CHECK(result(repeat("(", 5000) + "1" + repeat(")", 5000)).find("depth") != std::string::npos);
  CHECK(result(repeat("!", 5000) + "true").find("depth") != std::string::npos);
  CHECK(result(repeat("[", 5000)).find("depth") != std::string::npos);
  CHECK(result("1" + repeat("+1", 5000)).find("nested") != std::string::npos);
  CHECK(result("request" + repeat(".a", 5000)).find("nested") != std::string::npos);
  CHECK(result("true" + repeat(" && true", 1000)) == "true");  // a chain is flat
  CHECK(result("'" + std::string(17 * 1024, 'x') + "' == ''").find("longer than") != std::string::npos);
  const std::string ten = "[1,2,3,4,5,6,7,8,9,10]";
  std::string multiplying = "a1 > 0";
  for (int i = 1; i <= 6; ++i) multiplying = ten + ".all(a" + std::to_string(i) + ", " + multiplying + ")";
  CHECK(result(multiplying).find("more than 20000 operations") != std::string::npos);
  std::string doubling = "request.account";
  for (int i = 0; i < 9; ++i) doubling = "(" + doubling + " + " + doubling + ")";
  CHECK(result(doubling).find("bytes of text") != std::string::npos);
  for (const char* pattern : {"(x+x+)+y.{200}", "[ab]*a[ab]{30}", "((a{100}){100}){100}"}) {
    INFO(pattern);
    CHECK(result("request.class.matches('" + std::string(pattern) + "')").starts_with("at "));
  }
  CHECK(result("request.class.matches('(a+)+$')") == "false");
}

// ---- the compiled program against a plain walk ----

__extension__ using Wide = __int128;

Value walk(const Node& n, const std::vector<Value>& f, std::vector<std::string>& made) {
  const auto kid = [&](std::size_t i) { return walk(n.kids[i], f, made); };
  const auto text = [&](std::string s) {
    made.push_back(std::move(s));
    return Value::of(std::string_view(made.back()));
  };
  const auto literal = [&](const Node& l) { return walk(l, f, made); };
  switch (n.op) {
    case Op::kLiteral:
      if (n.type.kind == Kind::kBool) return Value::of(n.integer != 0);
      if (n.type.kind == Kind::kInt) return Value::of(n.integer);
      if (n.type.kind == Kind::kDouble) return Value::of(n.real);
      return Value::of(std::string_view(n.text));
    case Op::kField:
      return f[static_cast<std::size_t>(n.integer)];
    case Op::kPresent:
      return Value::of(!f[static_cast<std::size_t>(n.integer)].failed());
    case Op::kAnd:
    case Op::kOr: {
      const bool decides = n.op == Op::kOr;
      Value fault;
      bool failed = false;
      for (std::size_t i = 0; i < n.kids.size(); ++i) {
        const Value v = kid(i);
        if (v.is(decides)) return v;
        if (v.failed() && !failed) fault = v, failed = true;
      }
      return failed ? fault : Value::of(!decides);
    }
    case Op::kIf: {
      const Value c = kid(0);
      return c.failed() ? c : kid(c.truth ? 1 : 2);
    }
    default:
      break;
  }
  std::vector<Value> v;
  const bool looks_up = n.op == Op::kIn || n.op == Op::kIndex;
  if (looks_up) {
    v.push_back(kid(n.op == Op::kIn ? 0 : 1));
  } else {
    for (std::size_t i = 0; i < n.kids.size(); ++i) v.push_back(kid(i));
  }
  for (const Value& one : v) {
    if (one.failed()) return one;
  }
  if (looks_up) {
    const Node& where = n.kids[n.op == Op::kIn ? 1 : 0];
    if (n.op == Op::kIndex && where.op == Op::kList) {
      if (v[0].integer < 0 || v[0].integer >= static_cast<std::int64_t>(where.kids.size()))
        return Value::of(Fault::kRange);
      return literal(where.kids[static_cast<std::size_t>(v[0].integer)]);
    }
    const std::size_t step = where.op == Op::kMap ? 2 : 1;
    for (std::size_t i = 0; i < where.kids.size(); i += step) {
      if (same(literal(where.kids[i]), v[0]))
        return n.op == Op::kIn ? Value::of(true) : literal(where.kids[i + 1]);
    }
    return n.op == Op::kIn ? Value::of(false) : Value::of(Fault::kNoKey);
  }
  const bool real = v[0].kind == Kind::kDouble;
  const Wide a = v[0].integer, b = v.size() > 1 ? v[1].integer : 0;
  const auto whole = [](Wide x) {
    return x > INT64_MAX || x < INT64_MIN ? Value::of(Fault::kOverflow)
                                          : Value::of(static_cast<std::int64_t>(x));
  };
  const auto less = [&](const Value& x, const Value& y, bool or_equal) {
    if (x.kind == Kind::kInt) return x.integer < y.integer || (or_equal && x.integer == y.integer);
    if (x.kind == Kind::kDouble) return x.real < y.real || (or_equal && x.real == y.real);
    return x.text() < y.text() || (or_equal && x.text() == y.text());
  };
  switch (n.op) {
    case Op::kNot:
      return Value::of(!v[0].truth);
    case Op::kNegate:
      return real ? Value::of(-v[0].real) : whole(-a);
    case Op::kEqual:
      return Value::of(same(v[0], v[1]));
    case Op::kUnequal:
      return Value::of(!same(v[0], v[1]));
    case Op::kLess:
    case Op::kLessEqual:
      return Value::of(less(v[0], v[1], n.op == Op::kLessEqual));
    case Op::kGreater:
    case Op::kGreaterEqual:
      return Value::of(less(v[1], v[0], n.op == Op::kGreaterEqual));
    case Op::kAdd:
      if (v[0].kind == Kind::kString) return text(std::string(v[0].text()) + std::string(v[1].text()));
      return real ? Value::of(v[0].real + v[1].real) : whole(a + b);
    case Op::kSubtract:
      return real ? Value::of(v[0].real - v[1].real) : whole(a - b);
    case Op::kMultiply:
      return real ? Value::of(v[0].real * v[1].real) : whole(a * b);
    case Op::kDivide:
      if (real) return Value::of(v[0].real / v[1].real);
      return b == 0 ? Value::of(Fault::kDivision) : whole(a / b);
    case Op::kRemainder:
      if (b == 0) return Value::of(Fault::kDivision);
      return a == INT64_MIN && b == -1 ? Value::of(Fault::kOverflow) : whole(a % b);
    default:
      break;
  }
  const std::string& call = n.text;
  if (call == "startsWith") return Value::of(v[0].text().starts_with(v[1].text()));
  if (call == "endsWith") return Value::of(v[0].text().ends_with(v[1].text()));
  if (call == "contains") return Value::of(v[0].text().find(v[1].text()) != std::string_view::npos);
  if (call == "matches")
    return Value::of(
        re2::RE2::PartialMatch(re2::StringPiece(v[0].bytes, v[0].size), std::string(v[1].text())));
  if (call == "string") return v[0].kind == Kind::kString ? v[0] : text(to_text(v[0]));
  if (call == "double") return v[0].kind == Kind::kInt ? Value::of(static_cast<double>(v[0].integer)) : v[0];
  if (call == "int" && v[0].kind == Kind::kDouble) {
    const bool fits =
        std::isfinite(v[0].real) && v[0].real < std::ldexp(1, 63) && v[0].real >= -std::ldexp(1, 63);
    return fits ? Value::of(static_cast<std::int64_t>(v[0].real)) : Value::of(Fault::kOverflow);
  }
  if (call == "size") {
    std::int64_t count = 0;
    for (const char c : v[0].text()) count += (c & 0xC0) != 0x80 ? 1 : 0;
    return Value::of(count);
  }
  return v[0];
}

// Random expressions that are well-typed.
class Maker {
 public:
  explicit Maker(unsigned seed) : random_(seed) {}
  std::string make(Kind kind, int depth) {
    const bool leaf = depth <= 0 || pick(5) == 0;
    switch (kind) {
      case Kind::kBool:
        return leaf ? boolean_leaf() : boolean(depth - 1);
      case Kind::kInt:
        return leaf ? any({"request.tokens", "header.weight", "0", "1", "-3", "1200", "9223372036854775807"})
                    : integer(depth - 1);
      case Kind::kDouble:
        return leaf ? any({"request.share", "0.5", "0.0", "-2.25", "1e18"}) : real(depth - 1);
      default:
        return leaf ? any({"request.class", "request.account", "request.session", "header.tier", "''", "'ac'",
                           "'\xC3\xA9g'"})
                    : text(depth - 1);
    }
  }
  std::size_t pick(std::size_t n) { return random_() % n; }

 private:
  std::string any(const std::vector<std::string>& of) { return of[pick(of.size())]; }
  std::string boolean_leaf() {
    return any({"true", "false", "request.retry", "has(request.session)", "has(header.tier)"});
  }
  std::string choice(Kind kind, int d) {
    return "(" + make(Kind::kBool, d) + " ? " + make(kind, d) + " : " + make(kind, d) + ")";
  }
  std::string boolean(int d) {
    const Kind kind = std::vector{Kind::kInt, Kind::kDouble, Kind::kString}[pick(3)];
    switch (pick(10)) {
      case 0:
        return "(" + make(Kind::kBool, d) + " && " + make(Kind::kBool, d) + " && " + make(Kind::kBool, d) +
               ")";
      case 1:
        return "(" + make(Kind::kBool, d) + " || " + make(Kind::kBool, d) + ")";
      case 2:
        return "!" + make(Kind::kBool, 0);
      case 3:
        return choice(Kind::kBool, d);
      case 4:
        return "(" + make(kind, d) + any({" == ", " != ", " < ", " <= ", " > ", " >= "}) + make(kind, d) +
               ")";
      case 5:
        return "(" + make(Kind::kString, d) + " in ['ask', 'acme', ''])";
      case 6:
        return "(" + make(Kind::kInt, d) + " in [1200, " + make(Kind::kInt, d) + "])";
      case 7:
        return make(Kind::kString, 0) + "." + any({"startsWith", "endsWith", "contains"}) + "(" +
               make(Kind::kString, d) + ")";
      case 8:
        return make(Kind::kString, 0) + ".matches('" + any({"^a", "s|e$", "[^a-m]+", "(?i)G.ld", "c{1,2}m"}) +
               "')";
      default:
        return any({"[1, 2, request.tokens].exists(x, x + 1 > ", "[0, 1].all(x, 3 / x >= "}) +
               make(Kind::kInt, d) + ")";
    }
  }
  std::string integer(int d) {
    switch (pick(6)) {
      case 0:
        return choice(Kind::kInt, d);
      case 1:
        return "size(" + make(Kind::kString, d) + ")";
      case 2:
        return "int(" + make(Kind::kDouble, d) + ")";
      case 3:
        return "{'ask': 3, 'acme': 7}[" + make(Kind::kString, d) + "]";
      default:
        return "(" + make(Kind::kInt, d) + any({" + ", " - ", " * ", " / ", " % "}) + make(Kind::kInt, d) +
               ")";
    }
  }
  std::string real(int d) {
    if (pick(3) == 0) return choice(Kind::kDouble, d);
    if (pick(2) == 0) return "double(" + make(Kind::kInt, d) + ")";
    return "(" + make(Kind::kDouble, d) + any({" + ", " - ", " * ", " / "}) + make(Kind::kDouble, d) + ")";
  }
  std::string text(int d) {
    if (pick(3) == 0) return choice(Kind::kString, d);
    if (pick(2) == 0) return "string(" + make(Kind::kInt, d) + ")";
    return "(" + make(Kind::kString, d) + " + " + make(Kind::kString, d) + ")";
  }
  std::mt19937 random_;
};

bool agree(const Value& a, const Value& b) {
  if (a.failed() && b.failed()) return a.fault == b.fault;
  if (a.kind == Kind::kDouble && b.kind == Kind::kDouble && std::isnan(a.real)) return std::isnan(b.real);
  return same(a, b);
}

TEST_CASE("a program says what a walk of its tree says, and allocates nothing", "[match]") {
  Maker maker(20261201);
  std::size_t faults = 0, compiled = 0;
  for (int i = 0; i < 6000; ++i) {
    const Kind kind = std::vector{Kind::kBool, Kind::kInt, Kind::kDouble, Kind::kString}[maker.pick(4)];
    const std::string text = maker.make(kind, 5);
    INFO(text);
    std::optional<Program> p;
    try {
      p = Program::compile(text, kFields, kind);
    } catch (const Errors& e) {
      const std::string what = e.what();
      const bool size = what.find("bytes") != std::string::npos || what.find("depth") != std::string::npos;
      if (!size) FAIL(what);
      continue;
    }
    ++compiled;
    const std::string again = to_text(p->tree());
    CHECK(to_text(Program::compile(again, kFields, kind).tree()) == again);
    Scratch scratch;
    scratch.reserve(p->max_values(), p->max_text());
    for (int k = 0; k < 3; ++k) {
      std::vector<Value> fields = request();
      if (k == 1)
        fields[5] = Value::of("s"), fields[6] = Value::of(Fault::kAbsent), fields[2] = Value::of(INT64_MIN);
      if (k == 2)
        fields[7] = Value::of(std::int64_t{2}), fields[4] = Value::of(false), fields[1] = Value::of("");
      const std::size_t before = allocations;
      const Value ran = p->run(fields, scratch);
      CHECK(allocations == before);
      std::vector<std::string> made;
      made.reserve(10'000);
      CHECK(agree(ran, walk(p->tree(), fields, made)));
      faults += ran.failed() ? 1 : 0;
      if (ran.kind == Kind::kString) CHECK(ran.size <= p->longest());
    }
  }
  CHECK(compiled > 5000);
  CHECK(faults > 1000);
}

TEST_CASE("an automaton matches what RE2 matches", "[match]") {
  std::mt19937 random(7);
  const std::vector<std::string> atoms = {"a",
                                          "b",
                                          "\xC3\xA9",
                                          ".",
                                          "[ab]",
                                          "[^a]",
                                          "\\d",
                                          "\\W",
                                          "\\s",
                                          "^",
                                          "$",
                                          "(a|b)",
                                          "(?:ab)",
                                          "[a-f0]",
                                          "[[:alpha:]]",
                                          "k",
                                          "(?i:k)",
                                          "S",
                                          "",
                                          "x{0}",
                                          "\\.",
                                          "[^\\n]",
                                          "[\xC3\xA9-\xE2\x82\xAC]",
                                          "\\x{20ac}",
                                          "(?s:.)",
                                          "(|a)",
                                          "\\pN"};
  const std::vector<std::string> letters = {"a",
                                            "b",
                                            "k",
                                            "K",
                                            "s",
                                            "\xC3\xA9",
                                            "\xE2\x82\xAC",
                                            "\xF0\x9F\x98\x80",
                                            "0",
                                            " ",
                                            "\n",
                                            ".",
                                            "\xE2\x84\xAA",
                                            "\xC5\xBF"};
  const auto any = [&](const std::vector<std::string>& of) { return of[random() % of.size()]; };
  std::size_t made = 0, matched = 0;
  for (int i = 0; i < 4000; ++i) {
    std::string pattern = random() % 4 == 0 ? "(?i)" : "";
    for (unsigned k = random() % 5; k > 0; --k) {
      pattern += any(atoms);
      if (random() % 3 == 0) pattern += any({"*", "+", "?", "{2}", "{1,3}", "{2,}", "*?", "|"});
    }
    std::optional<Automaton> automaton;
    try {
      automaton.emplace(pattern);
    } catch (const PatternError&) {
      continue;
    }
    ++made;
    const re2::RE2 judge(pattern);
    for (int k = 0; k < 12; ++k) {
      std::string text;
      for (unsigned n = random() % 6; n > 0; --n) text += any(letters);
      INFO(pattern << " on " << text);
      const bool found = re2::RE2::PartialMatch(text, judge);
      CHECK(automaton->matches(text) == found);
      matched += found ? 1 : 0;
    }
  }
  CHECK(made > 2500);
  CHECK(matched > 8000);
}

TEST_CASE("the first of many conditions is found as by trying all", "[match]") {
  std::mt19937 random(3);
  for (int round = 0; round < 60; ++round) {
    std::vector<Program> conditions;
    std::vector<std::string> texts;
    for (unsigned n = 1 + random() % 40; n > 0; --n) {
      const auto number = std::to_string(random() % 6);
      const std::vector<std::string> some = {"request.class == 'c" + number + "'",
                                             "'a" + number + "' == request.account",
                                             "request.account in ['a1', 'a1', 'a" + number + "']",
                                             "request.tokens == " + number,
                                             "request.tokens > " + number,
                                             "header.tier == 't" + number + "'",
                                             "request.retry"};
      std::string text = some[random() % some.size()];
      if (random() % 2 == 0) text += " && " + some[random() % some.size()];
      if (random() % 3 == 0) text = "(" + text + ") && (true || false)";
      texts.push_back(text);
      conditions.push_back(Program::compile(text, kFields, Kind::kBool));
    }
    const FirstMatch first(std::move(conditions), kFields);
    Scratch scratch;
    first.reserve(scratch);
    for (int k = 0; k < 50; ++k) {
      const std::string cls = "c" + std::to_string(random() % 6),
                        account = "a" + std::to_string(random() % 6),
                        tier = "t" + std::to_string(random() % 6);
      std::vector<Value> fields = request();
      fields[0] = Value::of(std::string_view(cls));
      fields[1] = random() % 8 == 0 ? Value::of(Fault::kAbsent) : Value::of(std::string_view(account));
      fields[2] = Value::of(static_cast<std::int64_t>(random() % 6));
      fields[4] = Value::of(random() % 8 == 0);
      fields[6] = random() % 2 == 0 ? Value::of(Fault::kAbsent) : Value::of(std::string_view(tier));
      int wanted = -1;
      for (std::size_t i = 0; i < first.size() && wanted < 0; ++i) {
        if (first.condition(i).run(fields, scratch).is(true)) wanted = static_cast<int>(i);
      }
      const std::size_t before = allocations;
      const int found = first.find(fields, scratch);
      CHECK(allocations == before);
      CHECK(found == wanted);
    }
  }
}

TEST_CASE("conditions on one value of a field cost no more as their number grows", "[match]") {
  const auto worst = [](int rules) {
    std::vector<Program> conditions;
    for (int i = 0; i < rules; ++i)
      conditions.push_back(Program::compile(
          "request.class == 'ask' && request.account == 'a" + std::to_string(i) + "'", kFields, Kind::kBool));
    return FirstMatch(std::move(conditions), kFields).worst_ns();
  };
  CHECK(worst(2000) < 2 * worst(20));
}

TEST_CASE("a text longer than declared counts as absent", "[match]") {
  const Program p = Program::compile("request.session + 'x'", kFields, Kind::kString);
  Scratch scratch;
  scratch.reserve(p.max_values(), p.max_text());
  auto fields = request();
  const std::string long_text(33, 'y');
  fields[5] = Value::of(std::string_view(long_text));
  CHECK(p.run(fields, scratch).failed());
  fields[5] = Value::of(std::string_view(long_text).substr(1));
  CHECK(p.run(fields, scratch).size == 33);
}

TEST_CASE("the worst cost grows with what the fields may hold and with the longer branch", "[match]") {
  const auto ns = [](const std::string& text) {
    return Program::compile(text, kFields, Kind::kBool).worst_ns();
  };
  CHECK(ns("request.class.matches('x')") > ns("header.tier.matches('x')"));
  const double one = ns("request.class.matches('x')");
  for (const char* both : {"request.retry ? request.class.matches('x') : true",
                           "request.retry ? true : request.class.matches('x')",
                           "request.retry ? request.class.matches('x') : request.class.matches('y')"})
    CHECK(ns(both) - one < 50);
  CHECK(ns("request.retry && request.retry") > ns("request.retry"));
}

TEST_CASE("random cuts and garbage are compiled or turned down", "[match]") {
  std::mt19937 random(5);
  Maker maker(5);
  const std::string marks = "()[]{}.,:?!&|<>=+-*/%'\"\\ 1a\xff\n";
  for (int i = 0; i < 4000; ++i) {
    std::string text = maker.make(Kind::kBool, 4);
    text.resize(random() % (text.size() + 1));
    for (unsigned k = random() % 4; k > 0 && !text.empty(); --k)
      text[random() % text.size()] = marks[random() % marks.size()];
    try {
      Program::compile(text, kFields, Kind::kBool);
    } catch (const Errors& e) {
      for (const auto& p : e.problems) CHECK(p.at <= text.size());
    }
  }
}

}  // namespace
}  // namespace dispatcher::testing
