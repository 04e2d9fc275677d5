#include "cue/unify.hpp"

#include <re2/re2.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <unordered_map>
#include <unordered_set>

#include "cue/nearest.hpp"
#include "cue/utf8.hpp"

namespace dispatcher::cue {

namespace {

// Enough for files of kMostBytes; what needs more was written to need more.
constexpr std::size_t kMaxWork = 6'000'000;
constexpr std::size_t kMaxDepth = 3 * kMaxNesting;
constexpr std::size_t kMaxDecided = 500'000;  // values of one file once it is read
constexpr std::size_t kMaxChain = 64;         // of definitions that are defined by one another
constexpr std::size_t kMaxProblems = 100;
constexpr std::size_t kMaxChoices = 1024;
constexpr std::size_t kMaxTold = 60;  // of a text, in an error

struct Stop {};  // too much work: the rest is left

unsigned kind_of(const Scalar& s) {
  constexpr std::array<unsigned, 5> kKinds = {kNullKind, kBoolKind, kIntKind, kFloatKind, kStringKind};
  return kKinds[s.index()];
}

std::string number_text(double d) {
  std::array<char, 32> text{};
  const auto result = std::to_chars(text.data(), text.data() + text.size(), d);
  return {text.data(), result.ptr};
}

std::string scalar_text(const Scalar& s) {
  if (std::holds_alternative<Null>(s)) return "null";
  if (const auto* b = std::get_if<bool>(&s)) return *b ? "true" : "false";
  if (const auto* i = std::get_if<std::int64_t>(&s)) return std::to_string(*i);
  if (const auto* d = std::get_if<double>(&s)) return number_text(*d);
  const std::string& text = std::get<std::string>(s);
  const std::string told = clip_utf8(text, kMaxTold);
  return "\"" + told + (told.size() < text.size() ? "..." : "") + "\"";
}

std::string kinds_text(unsigned kinds) {
  if (kinds == kAllKinds) return "any value";
  constexpr std::array<std::pair<unsigned, const char*>, 7> kNames = {{{kNullKind, "null"},
                                                                       {kBoolKind, "bool"},
                                                                       {kNumberKinds, "number"},
                                                                       {kIntKind, "int"},
                                                                       {kFloatKind, "float"},
                                                                       {kStringKind, "string"},
                                                                       {kStructKind, "a struct"}}};
  std::string text;
  const auto add = [&](const char* name) { text.append(text.empty() ? "" : " | ").append(name); };
  for (const auto& [bits, name] : kNames) {
    if ((kinds & bits) != bits) continue;
    kinds &= ~bits;
    add(name);
  }
  if ((kinds & kListKind) != 0) add("a list");
  return text.empty() ? "nothing" : text;
}

template <class T>
int compare(const T& a, const T& b) {
  return a < b ? -1 : b < a ? 1 : 0;
}

// Numbers by value, whatever their kinds; empty: not of one order.
std::optional<int> order(const Scalar& a, const Scalar& b) {
  if (const auto* x = std::get_if<std::string>(&a)) {
    const auto* y = std::get_if<std::string>(&b);
    return y == nullptr ? std::nullopt : std::optional<int>(compare(*x, *y));
  }
  const auto* i = std::get_if<std::int64_t>(&a);
  const auto* j = std::get_if<std::int64_t>(&b);
  if (i != nullptr && j != nullptr) return compare(*i, *j);
  const auto real = [](const Scalar& s) -> std::optional<long double> {
    if (const auto* n = std::get_if<std::int64_t>(&s)) return static_cast<long double>(*n);
    if (const auto* d = std::get_if<double>(&s)) return static_cast<long double>(*d);
    return std::nullopt;
  };
  const auto x = real(a), y = real(b);
  if (!x || !y) return a == b ? std::optional<int>(0) : std::nullopt;
  return compare(*x, *y);
}

bool meets(const Scalar& s, const Bound& bound) {
  if (bound.regex != nullptr) {
    const auto* text = std::get_if<std::string>(&s);
    return text != nullptr && re2::RE2::PartialMatch(*text, *bound.regex) == (bound.op == "=~");
  }
  const auto by = order(s, bound.operand);
  if (bound.op == "!=") return by != 0;
  if (!by) return false;
  if (bound.op == ">") return *by > 0;
  if (bound.op == ">=") return *by >= 0;
  if (bound.op == "<") return *by < 0;
  return *by <= 0;
}

std::shared_ptr<Value> make(Position at, unsigned kinds) {
  auto value = std::make_shared<Value>();
  value->at = at;
  value->kinds = kinds;
  return value;
}

std::shared_ptr<Value> constant(Position at, Scalar s) {
  auto value = make(at, kind_of(s));
  value->scalar = std::move(s);
  return value;
}

Position nearer(const ValuePtr& a, const ValuePtr& b) { return b->at.in_file() ? b->at : a->at; }

std::string unknown_field(const Value& structure, std::string_view label) {
  return "unknown field" +
         nearest(label, structure.members, [](const auto& m) { return std::string_view(m.label); });
}

bool plain_label(std::string_view label) {
  return !label.empty() && std::all_of(label.begin(), label.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '_' || c == '#' || c == '$';
  });
}

}  // namespace

std::string describe(const Value& value) {
  if (!value.choices.empty()) {
    std::string text;
    for (const auto& choice : value.choices) {
      if (text.size() > 4 * kMaxTold) return text + " | ...";
      text += (text.empty() ? "" : " | ") + describe(*choice.value);
    }
    return text;
  }
  if (value.scalar) return scalar_text(*value.scalar);
  if (value.bounds.empty()) return kinds_text(value.kinds);
  std::string text;
  const unsigned told = value.kinds & (kNumberKinds | kStringKind);
  if (told == kIntKind) text = "int";
  for (const Bound& b : value.bounds) text += (text.empty() ? "" : " & ") + b.op + scalar_text(b.operand);
  return text;
}

// A step deeper into the values, named in the path of what is reported there.
class Unifier::Step {
 public:
  Step(Unifier& unifier, std::string name) : unifier_(unifier) { unifier_.path_.push_back(std::move(name)); }
  ~Step() { unifier_.path_.pop_back(); }
  Step(const Step&) = delete;
  Step& operator=(const Step&) = delete;

 private:
  Unifier& unifier_;
};

std::string Unifier::path() const {
  std::string text;
  for (const std::string& part : path_) {
    if (part.starts_with('[')) {
      text += part;
    } else {
      text.append(text.empty() ? "" : ".")
          .append(plain_label(part) ? part : "\"" + clip_utf8(part, kMaxTold) + "\"");
    }
  }
  return text;
}

void Unifier::report(Position at, std::string what) {
  if (problems.size() >= kMaxProblems) {
    problems.push_back(
        {at, {}, "more than " + std::to_string(kMaxProblems) + " problems: the rest is not told"});
    throw Stop{};
  }
  // A quiet try is asked only whether anything is wrong.
  problems.push_back({at, quiet_ > 0 ? std::string() : path(), std::move(what)});
}

ValuePtr Unifier::conflict(const ValuePtr& expected, const ValuePtr& found) {
  const bool turned = expected->at.in_file() && !found->at.in_file();
  const ValuePtr &want = turned ? found : expected, &have = turned ? expected : found;
  if (quiet_ > 0) {
    report(have->at, {});
    return nullptr;
  }
  std::string what = "expected " + describe(*want) + ", found " + describe(*have);
  if (want->at.in_file())
    what += " (the other stands at " + std::to_string(want->at.line) + ":" + std::to_string(want->at.column) +
            ")";
  report(have->at, std::move(what));
  return nullptr;
}

// ---- evaluation ----

ValuePtr Unifier::evaluate(const Expr& file, const std::string& definition) {
  for (const Expr::Field& f : file.fields) {
    if (f.kind != Expr::Field::Kind::kDefinition) continue;
    if (!definitions_.emplace(f.label, &f.value.front()).second) {
      Step step(*this, f.label);
      report(f.at, "defined twice");
    }
  }
  try {
    if (!definition.empty()) {
      Expr e;
      e.text = definition;
      return reference(e);
    }
    Expr fields = file;
    std::erase_if(fields.fields, [](const auto& f) { return f.kind == Expr::Field::Kind::kDefinition; });
    for (const auto& [name, e] : definitions_) {  // one that nobody uses must be sound as well
      Expr use;
      use.text = name;
      use.at = e->at;
      reference(use);
    }
    return value(fields, false);
  } catch (const Stop&) {
    return nullptr;
  }
}

ValuePtr Unifier::value(const Expr& e, bool closed) {
  if (++work_ > kMaxWork) {
    problems.push_back({e.at, {}, "takes too much work to read"});
    throw Stop{};
  }
  switch (e.kind) {
    case Syntax::kNull:
      return constant(e.at, Null{});
    case Syntax::kBool:
      return constant(e.at, e.integer != 0);
    case Syntax::kInt:
      return constant(e.at, e.integer);
    case Syntax::kFloat:
      return constant(e.at, e.real);
    case Syntax::kString:
      return constant(e.at, e.text);
    case Syntax::kTop:
      return make(e.at, kAllKinds);
    case Syntax::kBottom:
      return make(e.at, 0);
    case Syntax::kReference:
      return reference(e);
    case Syntax::kBound:
      return bound(e);
    case Syntax::kStruct:
      return structure(e, closed);
    case Syntax::kType: {
      static const std::map<std::string, unsigned> kTypes = {
          {"bool", kBoolKind},      {"int", kIntKind},       {"float", kFloatKind},
          {"number", kNumberKinds}, {"string", kStringKind}, {"null", kNullKind}};
      return make(e.at, kTypes.at(e.text));
    }
    case Syntax::kAnd: {
      ValuePtr all;
      for (const Expr& kid : e.kids) {
        const ValuePtr next = value(kid, closed);
        all = all == nullptr ? next : next == nullptr ? nullptr : unify(all, next);
        if (all == nullptr) return nullptr;
      }
      return all;
    }
    case Syntax::kOr: {
      const auto all = make(e.at, 0);
      for (const Expr& kid : e.kids) {
        const bool preferred = kid.kind == Syntax::kDefault;
        const ValuePtr one = value(preferred ? kid.kids.front() : kid, closed);
        if (one == nullptr) return nullptr;
        all->kinds |= one->kinds;
        // A choice within a choice: its parts are this one's.
        if (one->choices.empty()) all->choices.push_back({one, preferred});
        for (const auto& part : one->choices)
          all->choices.push_back({part.value, preferred || part.preferred});
      }
      if (all->choices.size() > kMaxChoices) {
        report(e.at, "more than " + std::to_string(kMaxChoices) + " alternatives");
        return nullptr;
      }
      return all;
    }
    case Syntax::kDefault:
      report(e.at, "'*' marks one of several alternatives");
      return nullptr;
    case Syntax::kList: {
      const auto list = make(e.at, kListKind);
      bool good = true;
      for (std::size_t i = 0; i < e.kids.size(); ++i) {
        Step step(*this, "[" + std::to_string(i) + "]");
        const ValuePtr item = value(e.kids[i], closed);
        good = good && item != nullptr;
        const bool last = e.open && i + 1 == e.kids.size();
        last ? void(list->rest = item) : list->items.push_back(item);
      }
      return good ? list : nullptr;
    }
  }
  return nullptr;
}

ValuePtr Unifier::bound(const Expr& e) {
  const auto operand = value(e.kids.front(), false);
  Bound bound{e.text, *operand->scalar, nullptr};
  unsigned kinds =
      (operand->kinds & kNumberKinds) != 0 ? static_cast<unsigned>(kNumberKinds) : operand->kinds;
  if (e.text == "!=") kinds = kAllKinds;
  if (e.text == "=~" || e.text == "!~") {
    re2::RE2::Options options;
    options.set_log_errors(false);
    options.set_max_mem(1 << 20);
    bound.regex = std::make_shared<const re2::RE2>(std::get<std::string>(bound.operand), options);
    if (!bound.regex->ok()) {
      report(e.kids.front().at, "not a regular expression: " + bound.regex->error());
      return nullptr;
    }
  }
  const auto made = make(e.at, kinds);
  made->bounds.push_back(std::move(bound));
  return made;
}

ValuePtr Unifier::structure(const Expr& e, bool closed) {
  const auto made = make(e.at, kStructKind);
  made->closed = closed && !e.open;
  bool good = true;
  std::unordered_map<std::string_view, std::size_t> seen;
  for (const Expr::Field& f : e.fields) {
    Step step(*this, f.kind == Expr::Field::Kind::kPattern ? "[string]" : f.label);
    if (f.kind == Expr::Field::Kind::kDefinition) {
      report(f.at, "definitions stand at the top of the file");
      good = false;
      continue;
    }
    const ValuePtr v = value(f.value.front(), closed);
    if (v == nullptr) {
      good = false;
      continue;
    }
    if (f.kind == Expr::Field::Kind::kPattern) {
      made->patterns.push_back(v);
      continue;
    }
    const bool optional = f.kind == Expr::Field::Kind::kOptional;
    const auto [it, first] = seen.emplace(f.label, made->members.size());
    if (first) {
      made->members.push_back({f.label, optional, f.at, v});
      continue;
    }
    Value::Member& before = made->members[it->second];
    const ValuePtr both = unify(before.value, v);
    good = good && both != nullptr;
    before.optional = before.optional && optional;
    if (both != nullptr) before.value = both;
  }
  if (!good) return nullptr;
  if (made->patterns.empty()) return made;
  // The struct's own patterns hold for its own fields.
  const auto bare = std::make_shared<Value>(*made);
  bare->patterns.clear();
  bare->closed = false;
  const auto rules = make(e.at, kStructKind);
  rules->patterns = made->patterns;
  rules->closed = made->closed;
  return unify(rules, bare);
}

ValuePtr Unifier::reference(const Expr& e) {
  const auto it = definitions_.find(e.text);
  if (it == definitions_.end()) {
    report(e.at, "'" + e.text + "' is not defined in this file");
    return nullptr;
  }
  if (const auto known = evaluated_.find(e.text); known != evaluated_.end()) return known->second;
  if (!evaluating_.insert(e.text).second) {
    report(e.at, "'" + e.text + "' is defined by itself");
    return nullptr;
  }
  if (evaluating_.size() > kMaxChain) {
    report(e.at, "more than " + std::to_string(kMaxChain) + " definitions are defined by one another");
    throw Stop{};
  }
  const std::vector<std::string> path = std::exchange(path_, {e.text});
  const ValuePtr made = value(*it->second, e.text.starts_with('#'));
  path_ = path;
  evaluating_.erase(e.text);
  return evaluated_[e.text] = made;
}

// ---- unification ----

ValuePtr Unifier::meet(const ValuePtr& expected, const ValuePtr& found) {
  try {
    return unify(expected, found);
  } catch (const Stop&) {
    return nullptr;
  }
}

ValuePtr Unifier::quietly(const ValuePtr& a, const ValuePtr& b) {
  const std::size_t before = problems.size();
  ++quiet_;
  ValuePtr both;
  try {
    both = unify(a, b);
  } catch (...) {
    --quiet_;
    throw;
  }
  --quiet_;
  const bool good = problems.size() == before;
  problems.resize(before);
  return good ? both : nullptr;
}

ValuePtr Unifier::unify(const ValuePtr& a, const ValuePtr& b) {
  if (++work_ > kMaxWork || path_.size() > kMaxDepth) {
    problems.push_back({nearer(a, b), {}, "takes too much work to read"});
    throw Stop{};
  }
  if (a == b) return a;
  if (!a->choices.empty() || !b->choices.empty()) return choice(a, b);
  const unsigned kinds = a->kinds & b->kinds;
  if (kinds == 0) return conflict(a, b);
  const auto anything = [](const Value& v) { return v.kinds == kAllKinds && v.bounds.empty(); };
  if (anything(*a)) return b;
  if (anything(*b)) return a;
  if (kinds == kStructKind && a->bounds.empty() && b->bounds.empty()) return structs(a, b);
  if (kinds == kListKind && a->bounds.empty() && b->bounds.empty()) return lists(a, b);
  return scalars(a, b);
}

ValuePtr Unifier::scalars(const ValuePtr& a, const ValuePtr& b) {
  const auto both = make(nearer(a, b), a->kinds & b->kinds);
  if (a->scalar && b->scalar && *a->scalar != *b->scalar) return conflict(a, b);
  both->scalar = b->scalar ? b->scalar : a->scalar;
  both->bounds = a->bounds;
  both->bounds.insert(both->bounds.end(), b->bounds.begin(), b->bounds.end());
  if (!both->scalar) return both;
  for (const Bound& bound : both->bounds) {
    if (!meets(*both->scalar, bound)) return conflict(a, b);
  }
  both->bounds.clear();
  return both;
}

ValuePtr Unifier::choice(const ValuePtr& a, const ValuePtr& b) {
  const auto choices = [](const ValuePtr& v) {
    return v->choices.empty() ? std::vector<Value::Choice>{{v, false}} : v->choices;
  };
  const auto marked = [](const std::vector<Value::Choice>& all) {
    return std::any_of(all.begin(), all.end(), [](const auto& c) { return c.preferred; });
  };
  const auto as = choices(a), bs = choices(b);
  const bool a_marked = marked(as), b_marked = marked(bs);
  const auto both = make(nearer(a, b), 0);
  for (const auto& x : as) {
    for (const auto& y : bs) {
      if ((x.value->kinds & y.value->kinds) == 0) continue;
      const ValuePtr one = quietly(x.value, y.value);
      if (one == nullptr) continue;
      const bool preferred =
          (a_marked || b_marked) && (!a_marked || x.preferred) && (!b_marked || y.preferred);
      const auto same = std::find_if(both->choices.begin(), both->choices.end(), [&](const auto& c) {
        return one->scalar && c.value->scalar == one->scalar;
      });
      if (same != both->choices.end()) {
        same->preferred = same->preferred || preferred;
        continue;
      }
      both->kinds |= one->kinds;
      both->choices.push_back({one, preferred});
      if (both->choices.size() > kMaxChoices) {
        report(both->at, "more than " + std::to_string(kMaxChoices) + " alternatives");
        return nullptr;
      }
    }
  }
  if (both->choices.size() == 1) return both->choices.front().value;
  if (!both->choices.empty()) return both;
  // Nothing fits. Where only one alternative is of the right kind, what is wrong with it says most.
  const Value::Choice* near = nullptr;
  if (bs.size() == 1) {
    for (const auto& x : as) {
      if ((x.value->kinds & b->kinds & (kStructKind | kListKind)) == 0) continue;
      const bool short_list = x.value->kinds == kListKind && x.value->rest == nullptr;
      if (short_list && x.value->items.size() != b->items.size()) continue;
      if (near != nullptr) return conflict(a, b);
      near = &x;
    }
  }
  return near == nullptr ? conflict(a, b) : unify(near->value, b);
}

ValuePtr Unifier::structs(const ValuePtr& a, const ValuePtr& b) {
  const auto both = make(nearer(a, b), kStructKind);
  both->closed = a->closed || b->closed;
  both->patterns = a->patterns;
  both->patterns.insert(both->patterns.end(), b->patterns.begin(), b->patterns.end());
  bool good = true;
  std::unordered_map<std::string_view, const Value::Member*> in_b;
  for (const auto& m : b->members) in_b.emplace(m.label, &m);

  const auto add = [&](Value::Member m) {
    for (const ValuePtr& pattern : both->patterns) {
      const ValuePtr next = m.optional ? quietly(pattern, m.value) : unify(pattern, m.value);
      good = good && (next != nullptr || m.optional);
      m.value = next != nullptr ? next : make(m.at, 0);
    }
    both->members.push_back(std::move(m));
  };
  const auto allowed = [](const Value& s) { return !s.closed || !s.patterns.empty(); };
  const auto alone = [&](const Value::Member& m, const Value& other) {
    Step step(*this, m.label);
    if (allowed(other)) return add(m);
    if (m.optional) return;
    if (m.at.in_file()) {
      report(m.at, unknown_field(other, m.label));
    } else {
      report(other.at, "a definition that does not end in '...' leaves out the field");
    }
    good = false;
  };
  for (const Value::Member& m : a->members) {
    const auto it = in_b.find(m.label);
    if (it == in_b.end()) {
      alone(m, *b);
      continue;
    }
    const Value::Member& n = *it->second;
    Step step(*this, m.label);
    const bool optional = m.optional && n.optional;
    ValuePtr v = optional ? quietly(m.value, n.value) : unify(m.value, n.value);
    if (v == nullptr && !optional) {
      good = false;
      continue;
    }
    if (v == nullptr) v = make(n.at, 0);
    add({m.label, optional, n.at.in_file() ? n.at : m.at, v});
  }
  std::unordered_set<std::string_view> in_a;
  for (const auto& m : a->members) in_a.insert(m.label);
  for (const Value::Member& n : b->members) {
    if (!in_a.contains(n.label)) alone(n, *a);
  }
  return good ? both : nullptr;
}

ValuePtr Unifier::lists(const ValuePtr& a, const ValuePtr& b) {
  const auto both = make(nearer(a, b), kListKind);
  const std::size_t size = std::max(a->items.size(), b->items.size());
  bool good = true;
  for (std::size_t i = 0; i < size; ++i) {
    const ValuePtr& x = i < a->items.size() ? a->items[i] : a->rest;
    const ValuePtr& y = i < b->items.size() ? b->items[i] : b->rest;
    Step step(*this, "[" + std::to_string(i) + "]");
    if (x == nullptr || y == nullptr) {
      const ValuePtr &shorter = x == nullptr ? a : b, &longer = x == nullptr ? b : a;
      report(nearer(a, b), "expected a list of " + std::to_string(shorter->items.size()) + ", found one of " +
                               (longer->items.size() == size ? "" : "at least ") + std::to_string(size));
      return nullptr;
    }
    const ValuePtr one = unify(x, y);
    good = good && one != nullptr;
    both->items.push_back(one);
  }
  if (a->rest != nullptr && b->rest != nullptr) {
    both->rest = quietly(a->rest, b->rest);
    if (both->rest == nullptr) both->rest = make(both->at, 0);
  }
  return good ? both : nullptr;
}

// ---- decisions ----

Data Unifier::decided(const ValuePtr& v) {
  try {
    return decided(v, {1, 1});
  } catch (const Stop&) {
    return {};
  }
}

Data Unifier::decided(const ValuePtr& v, Position within) {
  if (++decided_ > kMaxDecided) {
    problems.push_back({within, {}, "holds more than " + std::to_string(kMaxDecided) + " values"});
    throw Stop{};
  }
  if (!v->choices.empty()) {
    const bool marked =
        std::any_of(v->choices.begin(), v->choices.end(), [](const auto& c) { return c.preferred; });
    ValuePtr only;
    for (const auto& c : v->choices) {
      if (marked && !c.preferred) continue;
      if (only != nullptr) {
        report(v->at.in_file() ? v->at : within, "missing: expected " + describe(*v));
        return {};
      }
      only = c.value;
    }
    return decided(only, within);
  }
  const Position at = v->at;
  if (v->scalar) return {at, path(), *v->scalar};
  if (v->kinds == kStructKind && v->bounds.empty()) {
    Data::Fields fields;
    for (const Value::Member& m : v->members) {
      if (m.optional) continue;
      Step step(*this, m.label);
      fields.emplace_back(m.label, decided(m.value, at.in_file() ? at : within));
    }
    return {at, path(), std::move(fields)};
  }
  if (v->kinds == kListKind && v->bounds.empty()) {
    Data::Items items;
    for (std::size_t i = 0; i < v->items.size(); ++i) {
      Step step(*this, "[" + std::to_string(i) + "]");
      items.push_back(decided(v->items[i], at.in_file() ? at : within));
    }
    return {at, path(), std::move(items)};
  }
  report(at.in_file() ? at : within,
         (at.in_file() ? "not a value yet: " : "missing: expected ") + describe(*v));
  return {};
}

}  // namespace dispatcher::cue
