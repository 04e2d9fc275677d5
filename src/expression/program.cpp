#include "expression/program.hpp"

#include <re2/re2.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <optional>

#include "expression/check.hpp"

namespace dispatcher::expression {

namespace {

// What a step costs at most, in ns on a core of 2 GHz or more with cold caches; each is some three times what
// the benchmark measures. The sum must never be less than the truth: better a rule turned down than a slow
// command.
constexpr double kRunNs = 20, kStepNs = 10;                // of a program, of each step
constexpr double kTextNs = 15, kByteNs = 0.5;              // of a comparison
constexpr double kSmallLookupNs = 5, kLargeLookupNs = 15;  // a byte of an automaton, by its size
constexpr std::size_t kSmallAutomaton = 32 * 1024;
constexpr double kFormatNs = 100, kFormatRealNs = 600, kParseNs = 200, kParseRealNs = 1500;
constexpr double kSearchNs = 150, kSearchByteNs = 10, kSearchPairNs = 0.2;  // of a part that is not constant
constexpr std::size_t kLongestNumber = 64, kIntText = 20, kRealText = 32;

std::optional<int> order(const Value& a, const Value& b) {
  switch (a.kind) {
    case Kind::kBool:
      return static_cast<int>(a.truth) - static_cast<int>(b.truth);
    case Kind::kInt:
      return a.integer < b.integer ? -1 : a.integer > b.integer ? 1 : 0;
    case Kind::kDouble:
      if (std::isnan(a.real) || std::isnan(b.real)) return std::nullopt;
      return a.real < b.real ? -1 : a.real > b.real ? 1 : 0;
    case Kind::kString:
      return a.text().compare(b.text());
    default:
      return std::nullopt;
  }
}

bool before(const Value& a, const Value& b) { return order(a, b).value_or(0) < 0; }

}  // namespace

// ---- compiling ----

class Compiler {
 public:
  Compiler(Program& program, const Environment& fields) : p_(program), fields_(fields) {}

  void compile() {
    const std::size_t length = emit(p_.tree_);
    p_.longest_ = length;
    p_.worst_ns_ = kRunNs + worst();
    if (p_.text_ > kMaxMade)
      fail(p_.tree_, "makes up to " + std::to_string(p_.text_) + " bytes of text, more than " +
                         std::to_string(kMaxMade));
  }

 private:
  using Do = Program::Do;

  [[noreturn]] static void fail(const Node& n, std::string what) { throw Errors({{n.at, std::move(what)}}); }

  [[nodiscard]] std::size_t here() const { return p_.code_.size(); }
  std::size_t step(Do what, double ns, int change, std::int32_t a = 0) {
    p_.code_.push_back({what, a, 0});
    cost_.push_back(ns);
    depth_ += change;
    p_.values_ = std::max(p_.values_, static_cast<std::size_t>(depth_));
    return here() - 1;
  }
  void land(std::size_t at, bool second = false) {
    Program::Step& s = p_.code_[at];
    (second ? s.b : s.a) = static_cast<std::int32_t>(here());
  }

  Value value(const Node& literal) {
    switch (literal.type.kind) {
      case Kind::kBool:
        return Value::of(literal.integer != 0);
      case Kind::kInt:
        return Value::of(literal.integer);
      case Kind::kDouble:
        return Value::of(literal.real);
      default:
        p_.texts_.push_back(std::make_unique<std::string>(literal.text));
        return Value::of(std::string_view(*p_.texts_.back()));
    }
  }

  // The list's or map's number, and the longest text among its keys and values.
  std::int32_t table(const Node& n) {
    Program::Table table;
    if (n.op == Op::kList) {
      for (const Node& kid : n.kids) table.keys.push_back(value(kid));
    } else {
      std::vector<std::pair<Value, Value>> entries;
      for (std::size_t i = 0; i + 1 < n.kids.size(); i += 2)
        entries.emplace_back(value(n.kids[i]), value(n.kids[i + 1]));
      std::sort(entries.begin(), entries.end(),
                [](const auto& a, const auto& b) { return before(a.first, b.first); });
      for (const auto& [k, v] : entries) {
        table.keys.push_back(k);
        table.values.push_back(v);
      }
    }
    p_.tables_.push_back(std::move(table));
    return static_cast<std::int32_t>(p_.tables_.size()) - 1;
  }
  static std::size_t longest(const std::vector<Value>& values) {
    std::size_t maximum = 0;
    for (const Value& v : values)
      maximum = std::max<std::size_t>(maximum, v.kind == Kind::kString ? v.size : 0);
    return maximum;
  }

  static double comparing(Kind kind, std::size_t a, std::size_t b) {
    if (kind != Kind::kString) return kStepNs;
    return kTextNs + kByteNs * static_cast<double>(std::min(a, b));
  }

  // Emits what leaves the node's value on the stack. Returns the longest that a text can be.
  std::size_t emit(const Node& n) {
    switch (n.op) {
      case Op::kLiteral: {
        p_.constants_.push_back(value(n));
        step(Do::kConstant, kStepNs, 1, static_cast<std::int32_t>(p_.constants_.size()) - 1);
        return n.text.size();
      }
      case Op::kField:
        step(Do::kField, kStepNs, 1, static_cast<std::int32_t>(n.integer));
        p_.code_.back().b =
            static_cast<std::int32_t>(fields_.fields()[static_cast<std::size_t>(n.integer)].longest);
        return fields_.fields()[static_cast<std::size_t>(n.integer)].longest;
      case Op::kPresent:
        step(Do::kPresent, kStepNs, 1, static_cast<std::int32_t>(n.integer));
        return 0;
      case Op::kAnd:
      case Op::kOr:
        return chain(n);
      case Op::kIf:
        return conditional(n);
      case Op::kNot:
      case Op::kNegate:
        emit(n.kids[0]);
        step(n.op == Op::kNot ? Do::kNot : Do::kNegate, kStepNs, 0);
        return 0;
      case Op::kIn:
      case Op::kIndex:
        return look_up(n);
      case Op::kCall:
        return call(n);
      default:
        return binary(n);
    }
  }

  std::size_t chain(const Node& n) {
    const bool all = n.op == Op::kAnd;
    std::vector<std::size_t> out;
    emit(n.kids[0]);
    for (std::size_t i = 1; i < n.kids.size(); ++i) {
      out.push_back(step(all ? Do::kJumpFalse : Do::kJumpTrue, kStepNs, 0));
      emit(n.kids[i]);
      step(all ? Do::kAnd : Do::kOr, kStepNs, -1);
    }
    for (const std::size_t at : out) land(at);
    return 0;
  }

  std::size_t conditional(const Node& n) {
    emit(n.kids[0]);
    const std::size_t branch = step(Do::kBranch, kStepNs, -1);
    const std::size_t yes = emit(n.kids[1]);
    const std::size_t jump = step(Do::kJump, kStepNs, -1);
    land(branch);
    const std::size_t no = emit(n.kids[2]);
    land(jump);
    land(branch, true);
    return std::max(yes, no);
  }

  std::size_t binary(const Node& n) {
    // a > b is b < a, but what stands first is still evaluated first.
    const std::size_t a = emit(n.kids[0]), b = emit(n.kids[1]);
    const Kind kind = n.kids[0].type.kind;
    if (n.op == Op::kAdd && kind == Kind::kString) {
      p_.text_ += a + b;
      step(Do::kAdd, kTextNs + kByteNs * static_cast<double>(a + b), -1);
      return a + b;
    }
    Do what = Do::kEqual;
    std::int32_t turned = 0;
    switch (n.op) {
      case Op::kUnequal:
        what = Do::kUnequal;
        break;
      case Op::kGreater:
        turned = 1;
        [[fallthrough]];
      case Op::kLess:
        what = Do::kLess;
        break;
      case Op::kGreaterEqual:
        turned = 1;
        [[fallthrough]];
      case Op::kLessEqual:
        what = Do::kLessEqual;
        break;
      case Op::kAdd:
        what = Do::kAdd;
        break;
      case Op::kSubtract:
        what = Do::kSubtract;
        break;
      case Op::kMultiply:
        what = Do::kMultiply;
        break;
      case Op::kDivide:
        what = Do::kDivide;
        break;
      case Op::kRemainder:
        what = Do::kRemainder;
        break;
      default:
        break;
    }
    const double division = n.op == Op::kDivide || n.op == Op::kRemainder ? 3 * kStepNs : 0;
    step(what, comparing(kind, a, b) + division, -1, turned);
    return 0;
  }

  std::size_t look_up(const Node& n) {
    const bool in = n.op == Op::kIn;
    const Node &key = n.kids[in ? 0 : 1], &where = n.kids[in ? 1 : 0];
    const std::size_t length = emit(key);
    const std::int32_t number = table(where);
    Program::Table& t = p_.tables_.back();
    if (!in && where.op == Op::kList) {
      step(Do::kIndexList, kStepNs, 0, number);
      return longest(t.keys);
    }
    if (where.op == Op::kList) std::sort(t.keys.begin(), t.keys.end(), before);
    const double halvings = std::ceil(std::log2(static_cast<double>(t.keys.size()) + 1));
    const double ns = kStepNs + halvings * comparing(key.type.kind, length, longest(t.keys));
    const Do what = !in ? Do::kIndexMap : where.op == Op::kList ? Do::kInList : Do::kInMap;
    step(what, ns, 0, number);
    return longest(t.values);
  }

  std::size_t call(const Node& n) {
    if (n.text == "matches" || (n.text == "contains" && n.kids[1].op == Op::kLiteral)) return matches(n);
    if (n.text == "size" && n.kids[0].op != Op::kField && n.kids[0].type.kind != Kind::kString) {
      const std::size_t kids = n.kids[0].kids.size();
      p_.constants_.push_back(
          Value::of(static_cast<std::int64_t>(n.kids[0].op == Op::kMap ? kids / 2 : kids)));
      step(Do::kConstant, kStepNs, 1, static_cast<std::int32_t>(p_.constants_.size()) - 1);
      return 0;
    }
    const std::size_t a = emit(n.kids[0]);
    const Kind kind = n.kids[0].type.kind;
    const auto bytes = [](std::size_t size) { return kByteNs * static_cast<double>(size); };
    if (n.text == "size") {
      step(Do::kSize, kStepNs + 3 * bytes(a), 0);
    } else if (n.text == "int") {
      step(Do::kToInt, kind == Kind::kString ? kParseNs : kStepNs, 0);
    } else if (n.text == "double") {
      step(Do::kToDouble, kind == Kind::kString ? kParseRealNs : kStepNs, 0);
    } else if (n.text == "string") {
      const std::size_t maximum = kind == Kind::kString ? a : kind == Kind::kDouble ? kRealText : kIntText;
      if (kind != Kind::kString) p_.text_ += maximum;
      step(Do::kToString, kind == Kind::kDouble ? kFormatRealNs : kFormatNs, 0);
      return maximum;
    } else {
      const std::size_t b = emit(n.kids[1]);
      if (n.text == "contains") {
        const auto text = static_cast<double>(a), part = static_cast<double>(b);
        step(Do::kContains, kSearchNs + kSearchByteNs * text + kSearchPairNs * text * part, -1);
      } else {
        step(n.text == "startsWith" ? Do::kStartsWith : Do::kEndsWith, kTextNs + bytes(std::min(a, b)), -1);
      }
    }
    return 0;
  }

  std::size_t matches(const Node& n) {
    const std::size_t length = emit(n.kids[0]);
    const std::string& text = n.kids[1].text;
    try {
      p_.automata_.emplace_back(n.text == "matches" ? text : re2::RE2::QuoteMeta(text));
    } catch (const PatternError& e) {
      fail(n.kids[1], e.what());
    }
    const double lookup = p_.automata_.back().bytes() <= kSmallAutomaton ? kSmallLookupNs : kLargeLookupNs;
    step(Do::kMatches, kTextNs + lookup * static_cast<double>(length), 0,
         static_cast<std::int32_t>(p_.automata_.size()) - 1);
    return 0;
  }

  // The longest way through: every jump leads forwards.
  [[nodiscard]] double worst() const {
    std::vector<double> from(here() + 1, 0);
    for (std::size_t i = here(); i-- > 0;) {
      const Program::Step& s = p_.code_[i];
      double rest = from[i + 1];
      const auto also = [&](std::int32_t to) { rest = std::max(rest, from[static_cast<std::size_t>(to)]); };
      if (s.what == Do::kJump) rest = from[static_cast<std::size_t>(s.a)];
      if (s.what == Do::kJumpFalse || s.what == Do::kJumpTrue || s.what == Do::kBranch) also(s.a);
      if (s.what == Do::kBranch) also(s.b);
      from[i] = cost_[i] + rest;
    }
    return from[0];
  }

  Program& p_;
  const Environment& fields_;
  std::vector<double> cost_;  // of each step
  int depth_ = 0;
};

Program Program::compile(std::string_view text, const Environment& fields, Kind wanted) {
  Program program;
  program.tree_ = check(text, fields, wanted);
  Compiler(program, fields).compile();
  return program;
}

std::size_t Program::bytes() const {
  std::size_t all = sizeof *this + code_.size() * sizeof(Step) + constants_.size() * sizeof(Value);
  for (const Table& t : tables_) all += (t.keys.size() + t.values.size()) * sizeof(Value);
  for (const Automaton& a : automata_) all += a.bytes();
  for (const auto& t : texts_) all += t->size() + sizeof *t;
  return all;
}

// ---- running ----

Value Program::run(std::span<const Value> fields, Scratch& scratch) const noexcept {
  Value* top = scratch.values_.data() - 1;
  char* free = scratch.text_.data();
  const Step* const code = code_.data();
  const std::size_t size = code_.size();
  for (std::size_t at = 0; at < size; ++at) {
    const Step& s = code[at];
    const auto a = static_cast<std::size_t>(s.a);
    switch (s.what) {
      case Do::kConstant:
        *++top = constants_[a];
        break;
      case Do::kField:
        *++top = fields[a];
        // What the cost and the scratch are computed by must hold, whoever filled in the fields.
        if (top->kind == Kind::kString && top->size > static_cast<std::uint32_t>(s.b))
          *top = Value::of(Fault::kAbsent);
        break;
      case Do::kPresent:
        *++top = Value::of(!fields[a].failed());
        break;
      case Do::kJumpFalse:
        if (top->is(false)) at = a - 1;
        break;
      case Do::kJumpTrue:
        if (top->is(true)) at = a - 1;
        break;
      case Do::kBranch:
        if (top->failed()) {
          at = static_cast<std::size_t>(s.b) - 1;
        } else if (!(top--)->truth) {
          at = a - 1;
        }
        break;
      case Do::kJump:
        at = a - 1;
        break;
      case Do::kAnd:
        --top;
        if (top[1].is(false) || (!top->failed() && !top->is(false))) *top = top[1];
        break;
      case Do::kOr:
        --top;
        if (top[1].is(true) || (!top->failed() && !top->is(true))) *top = top[1];
        break;
      case Do::kNot:
        if (!top->failed()) top->truth = !top->truth;
        break;
      case Do::kNegate:
        if (top->kind == Kind::kDouble) {
          top->real = -top->real;
        } else if (!top->failed()) {
          *top = top->integer == INT64_MIN ? Value::of(Fault::kOverflow) : Value::of(-top->integer);
        }
        break;
      case Do::kInList:
      case Do::kInMap:
      case Do::kIndexList:
      case Do::kIndexMap:
        if (!top->failed()) *top = looked_up(s, *top);
        break;
      case Do::kSize:
        if (!top->failed()) {
          const std::string_view text = top->text();
          *top = Value::of(static_cast<std::int64_t>(std::count_if(text.begin(), text.end(), [](char c) {
            return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U;
          })));
        }
        break;
      case Do::kMatches:
        if (!top->failed()) *top = Value::of(automata_[a].matches(top->text()));
        break;
      case Do::kToInt:
      case Do::kToDouble:
      case Do::kToString:
        if (!top->failed()) *top = converted(s.what, *top, free);
        break;
      default:  // of two
        --top;
        if (top->failed()) break;
        if (top[1].failed()) {
          *top = top[1];
        } else if (s.what == Do::kAdd && top->kind == Kind::kString) {
          char* begin = free;
          free = std::copy_n(top->bytes, top->size, free);
          free = std::copy_n(top[1].bytes, top[1].size, free);
          *top = Value::of(std::string_view(begin, static_cast<std::size_t>(free - begin)));
        } else {
          *top = s.a != 0 ? calculate(s.what, top[1], *top) : calculate(s.what, *top, top[1]);
        }
    }
  }
  return *top;
}

Value Program::calculate(Do what, const Value& a, const Value& b) noexcept {
  switch (what) {
    case Do::kEqual:
      return Value::of(same(a, b));
    case Do::kUnequal:
      return Value::of(!same(a, b));
    case Do::kLess:
    case Do::kLessEqual:
      return compared(what, a, b);
    case Do::kStartsWith:
    case Do::kEndsWith:
    case Do::kContains:
      return searched(what, a.text(), b.text());
    default:
      return a.kind == Kind::kDouble ? real(what, a.real, b.real) : whole(what, a.integer, b.integer);
  }
}

Value Program::compared(Do what, const Value& a, const Value& b) noexcept {
  const auto by = order(a, b);
  return Value::of(by && (*by < 0 || (what == Do::kLessEqual && *by == 0)));
}

Value Program::searched(Do what, std::string_view text, std::string_view part) noexcept {
  if (what == Do::kStartsWith) return Value::of(text.starts_with(part));
  if (what == Do::kEndsWith) return Value::of(text.ends_with(part));
  return Value::of(part.empty() || memmem(text.data(), text.size(), part.data(), part.size()) != nullptr);
}

Value Program::whole(Do what, std::int64_t a, std::int64_t b) noexcept {
  std::int64_t result = 0;
  bool over = false;
  switch (what) {
    case Do::kAdd:
      over = __builtin_add_overflow(a, b, &result);
      break;
    case Do::kSubtract:
      over = __builtin_sub_overflow(a, b, &result);
      break;
    case Do::kMultiply:
      over = __builtin_mul_overflow(a, b, &result);
      break;
    default:
      if (b == 0) return Value::of(Fault::kDivision);
      over = a == INT64_MIN && b == -1;
      if (!over) result = what == Do::kDivide ? a / b : a % b;
  }
  return over ? Value::of(Fault::kOverflow) : Value::of(result);
}

Value Program::real(Do what, double a, double b) noexcept {
  switch (what) {
    case Do::kAdd:
      return Value::of(a + b);
    case Do::kSubtract:
      return Value::of(a - b);
    case Do::kMultiply:
      return Value::of(a * b);
    default:
      return Value::of(a / b);
  }
}

Value Program::looked_up(const Step& step, const Value& key) const noexcept {
  const Table& table = tables_[static_cast<std::size_t>(step.a)];
  if (step.what == Do::kIndexList) {
    const bool inside = key.integer >= 0 && static_cast<std::uint64_t>(key.integer) < table.keys.size();
    return inside ? table.keys[static_cast<std::size_t>(key.integer)] : Value::of(Fault::kRange);
  }
  const auto it = std::lower_bound(table.keys.begin(), table.keys.end(), key, before);
  const bool found = it != table.keys.end() && same(*it, key);
  if (step.what != Do::kIndexMap) return Value::of(found);
  return found ? table.values[static_cast<std::size_t>(it - table.keys.begin())] : Value::of(Fault::kNoKey);
}

Value Program::converted(Do what, const Value& v, char*& free) noexcept {
  if (what == Do::kToString) {
    if (v.kind == Kind::kString) return v;
    char* begin = free;
    free = v.kind == Kind::kDouble ? std::to_chars(free, free + kRealText, v.real).ptr
                                   : std::to_chars(free, free + kIntText, v.integer).ptr;
    return Value::of(std::string_view(begin, static_cast<std::size_t>(free - begin)));
  }
  const auto parsed = [&](auto number) {
    const char* end = v.bytes + v.size;
    const bool short_enough = v.size > 0 && v.size <= kLongestNumber;
    const auto result = short_enough ? std::from_chars(v.bytes, end, number)
                                     : std::from_chars_result{end, std::errc::invalid_argument};
    return result.ec == std::errc() && result.ptr == end ? Value::of(number) : Value::of(Fault::kConversion);
  };
  if (what == Do::kToDouble) {
    if (v.kind == Kind::kString) return parsed(double{});
    return v.kind == Kind::kInt ? Value::of(static_cast<double>(v.integer)) : v;
  }
  if (v.kind == Kind::kString) return parsed(std::int64_t{});
  if (v.kind == Kind::kInt) return v;
  constexpr double kBeyond = 9223372036854775808.0;
  const bool fits = v.real >= -kBeyond && v.real < kBeyond;  // false of what is no number
  return fits ? Value::of(static_cast<std::int64_t>(v.real)) : Value::of(Fault::kOverflow);
}

}  // namespace dispatcher::expression
