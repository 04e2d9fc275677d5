#include "expression/automaton.hpp"

#include <re2/re2.h>

#include <algorithm>
#include <map>
#include <optional>

#include "cue/utf8.hpp"

namespace dispatcher::expression {

namespace {

constexpr std::uint32_t kLast = 0x10FFFF;
constexpr int kMaxNesting = 100;
constexpr std::size_t kMaxWork = 5'000'000;  // steps of making it deterministic

struct Range {
  std::uint32_t low, high;
};
using Ranges = std::vector<Range>;

void normalize(Ranges& ranges) {
  std::sort(ranges.begin(), ranges.end(), [](const Range& a, const Range& b) { return a.low < b.low; });
  Ranges merged;
  for (const Range& r : ranges) {
    if (!merged.empty() && r.low <= merged.back().high + 1) {
      merged.back().high = std::max(merged.back().high, r.high);
    } else {
      merged.push_back(r);
    }
  }
  ranges = std::move(merged);
}

Ranges negated(Ranges ranges) {
  normalize(ranges);
  Ranges rest;
  std::uint32_t from = 0;
  for (const Range& r : ranges) {
    if (r.low > from) rest.push_back({from, r.low - 1});
    from = r.high + 1;
  }
  if (from <= kLast) rest.push_back({from, kLast});
  return rest;
}

// Upper and lower case alike. Beyond ASCII only the two characters that fold into it are known.
void fold(Ranges& ranges) {
  constexpr std::uint32_t kKelvin = 0x212A, kLongS = 0x17F;
  const Ranges given = ranges;
  const auto holds = [&](std::uint32_t c) {
    return std::any_of(given.begin(), given.end(), [&](const Range& r) { return r.low <= c && c <= r.high; });
  };
  for (std::uint32_t c = 'a'; c <= 'z'; ++c) {
    if (holds(c) || holds(c - 32)) ranges.insert(ranges.end(), {{c, c}, {c - 32, c - 32}});
  }
  const auto join = [&](std::uint32_t lower, std::uint32_t other) {
    if (holds(lower) || holds(lower - 32)) ranges.push_back({other, other});
    if (holds(other)) ranges.insert(ranges.end(), {{lower, lower}, {lower - 32, lower - 32}});
  };
  join('k', kKelvin);
  join('s', kLongS);
}

const Ranges& perl_class(char c) {
  static const Ranges digits = {{'0', '9'}};
  static const Ranges spaces = {{'\t', '\n'}, {'\f', '\r'}, {' ', ' '}};
  static const Ranges words = {{'0', '9'}, {'A', 'Z'}, {'_', '_'}, {'a', 'z'}};
  return c == 'd' ? digits : c == 's' ? spaces : words;
}

std::optional<Ranges> named_class(std::string_view name) {
  static const std::map<std::string_view, Ranges> kClasses = {
      {"alnum", {{'0', '9'}, {'A', 'Z'}, {'a', 'z'}}},
      {"alpha", {{'A', 'Z'}, {'a', 'z'}}},
      {"ascii", {{0, 127}}},
      {"blank", {{'\t', '\t'}, {' ', ' '}}},
      {"cntrl", {{0, 31}, {127, 127}}},
      {"digit", {{'0', '9'}}},
      {"graph", {{'!', '~'}}},
      {"lower", {{'a', 'z'}}},
      {"print", {{' ', '~'}}},
      {"punct", {{'!', '/'}, {':', '@'}, {'[', '`'}, {'{', '~'}}},
      {"space", {{'\t', '\r'}, {' ', ' '}}},
      {"upper", {{'A', 'Z'}}},
      {"word", {{'0', '9'}, {'A', 'Z'}, {'_', '_'}, {'a', 'z'}}},
      {"xdigit", {{'0', '9'}, {'A', 'F'}, {'a', 'f'}}}};
  const auto it = kClasses.find(name);
  return it == kClasses.end() ? std::nullopt : std::optional<Ranges>(it->second);
}

// ---- the automaton of single steps ----

struct State {
  enum class Kind : std::uint8_t { kByte, kSplit, kBegin, kEnd, kMatch } kind = Kind::kSplit;
  std::uint8_t low = 0, high = 0;  // of kByte
  int next = -1, other = -1;
};

class Steps {
 public:
  int add(State s) {
    if (states.size() >= Automaton::kMaxNodes) throw PatternError("the pattern is too large");
    states.push_back(s);
    return static_cast<int>(states.size()) - 1;
  }
  int split(int a, int b) { return add({State::Kind::kSplit, 0, 0, a, b}); }
  int byte(std::uint8_t low, std::uint8_t high, int next) {
    return add({State::Kind::kByte, low, high, next, -1});
  }
  std::vector<State> states;
};

// The pattern's tree. It is built into steps from its end to its start, as often as repeats ask.
struct Tree {
  enum class Kind { kEmpty, kClass, kBegin, kEnd, kSequence, kChoice, kRepeat } kind = Kind::kEmpty;
  Ranges ranges;
  std::vector<Tree> kids;
  int minimum = 0, maximum = -1;  // of kRepeat; -1: any number
};

// ---- patterns ----

// Reads what RE2 has found to be well-formed; what is not offered is told.
class Parser {
 public:
  explicit Parser(std::string_view text) : text_(text) {}
  Tree parse() {
    Tree all = choice(0);
    if (at_ != text_.size()) throw PatternError("unexpected ')'");
    return all;
  }

 private:
  struct Flags {
    bool fold = false, dot_all = false;
  };

  [[nodiscard]] bool at_end() const { return at_ >= text_.size(); }
  [[nodiscard]] char peek() const { return at_end() ? '\0' : text_[at_]; }
  bool take(std::string_view s) {
    if (!text_.substr(at_).starts_with(s)) return false;
    at_ += s.size();
    return true;
  }
  std::uint32_t character() {
    const std::size_t length = cue::utf8_length(text_.substr(at_));
    if (length == 0) throw PatternError("not UTF-8");
    const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text_[at_ + i]); };
    std::uint32_t c = length == 1 ? byte(0) : byte(0) & (0xFFU >> (length + 1));
    for (std::size_t i = 1; i < length; ++i) c = c << 6U | (byte(i) & 0x3FU);
    at_ += length;
    return c;
  }

  Tree choice(int depth) {
    if (depth > kMaxNesting) throw PatternError("nested too deeply");
    const Flags outer = flags_;
    Tree all;
    all.kind = Tree::Kind::kChoice;
    do {
      Tree sequence;
      sequence.kind = Tree::Kind::kSequence;
      while (!at_end() && peek() != '|' && peek() != ')') item(sequence, depth);
      all.kids.push_back(std::move(sequence));
    } while (take("|"));
    flags_ = outer;
    return all;
  }

  void item(Tree& sequence, int depth) {
    Tree one;
    if (take("(")) {
      if (!group(one, depth)) return;  // flags for the rest
    } else if (take("^") || take("\\A")) {
      one.kind = Tree::Kind::kBegin;
    } else if (take("$") || take("\\z")) {
      one.kind = Tree::Kind::kEnd;
    } else if (take("\\Q")) {
      const std::size_t end = text_.find("\\E", at_);
      while (at_ < std::min(end, text_.size())) sequence.kids.push_back(single(character()));
      take("\\E");
      if (sequence.kids.empty()) return;
      one = std::move(sequence.kids.back());
      sequence.kids.pop_back();
    } else if (take(".")) {
      one.kind = Tree::Kind::kClass;
      one.ranges = flags_.dot_all ? Ranges{{0, kLast}} : Ranges{{0, '\n' - 1}, {'\n' + 1, kLast}};
    } else if (take("[")) {
      one = bracket();
    } else if (peek() == '\\') {
      one.kind = Tree::Kind::kClass;
      one.ranges = escape();
      if (flags_.fold && !perl_) checked_fold(one.ranges);
    } else {
      one = single(character());
    }
    sequence.kids.push_back(repeats(std::move(one)));
  }

  Tree single(std::uint32_t c) {
    Tree one;
    one.kind = Tree::Kind::kClass;
    one.ranges = {{c, c}};
    if (flags_.fold) checked_fold(one.ranges);
    return one;
  }

  static void checked_fold(Ranges& ranges) {
    fold(ranges);
    for (const Range& r : ranges) {
      // Wide ranges hold both cases of nearly all; single letters beyond ASCII would need Unicode's tables.
      if (r.high > 127 && r.low != 0x212A && r.low != 0x17F && r.high != kLast)
        throw PatternError("(?i) is offered for ASCII letters only");
    }
  }

  bool group(Tree& one, int depth) {
    const Flags before = flags_;
    bool opened = true;
    if (take("?P<")) {
      const std::size_t end = text_.find('>', at_);
      at_ = end == std::string_view::npos ? text_.size() : end + 1;
    } else if (take("?")) {
      opened = set_flags();
    }
    if (!opened) return false;
    one = choice(depth + 1);
    if (!take(")")) throw PatternError("')' expected");
    flags_ = before;
    return true;
  }

  // After "(?": true where a group follows, false where the flags are for the rest.
  bool set_flags() {
    bool on = true;
    while (!at_end()) {
      const char c = text_[at_++];
      if (c == ':') return true;
      if (c == ')') return false;
      if (c == '-') {
        on = false;
      } else if (c == 'i') {
        flags_.fold = on;
      } else if (c == 's') {
        flags_.dot_all = on;
      } else {
        throw PatternError(std::string("the flag '") + c + "' is not offered");
      }
    }
    throw PatternError("')' expected");
  }

  Tree repeats(Tree one) {
    for (;;) {
      int minimum = 0, maximum = -1;
      if (take("*")) {
      } else if (take("+")) {
        minimum = 1;
      } else if (take("?")) {
        maximum = 1;
      } else if (!counted(minimum, maximum)) {
        return one;
      }
      take("?");  // as few as can be: the same texts match
      Tree repeat;
      repeat.kind = Tree::Kind::kRepeat;
      repeat.minimum = minimum;
      repeat.maximum = maximum;
      repeat.kids.push_back(std::move(one));
      one = std::move(repeat);
    }
  }

  // {2}, {2,}, {2,5}; anything else is text.
  bool counted(int& minimum, int& maximum) {
    const std::size_t before = at_;
    if (!take("{")) return false;
    const auto number = [&]() -> int {
      if (at_end() || std::isdigit(static_cast<unsigned char>(peek())) == 0) return -1;
      int n = 0;
      while (!at_end() && std::isdigit(static_cast<unsigned char>(peek())) != 0)
        n = std::min(n * 10 + (text_[at_++] - '0'), 100'000);
      return n;
    };
    minimum = number();
    bool good = minimum >= 0;
    maximum = minimum;
    if (good && take(",")) maximum = number();
    good = good && take("}");
    if (!good) at_ = before;
    return good;
  }

  Ranges escape() {
    perl_ = false;
    ++at_;
    if (at_end()) throw PatternError("a character expected after the backslash");
    const char c = peek();
    if (std::string_view("dswDSW").find(c) != std::string_view::npos) {
      ++at_;
      perl_ = true;
      const bool negative = std::isupper(static_cast<unsigned char>(c)) != 0;
      Ranges ranges = perl_class(static_cast<char>(std::tolower(c)));
      if (flags_.fold) fold(ranges);  // before it is negated
      return negative ? negated(std::move(ranges)) : ranges;
    }
    constexpr std::string_view kFrom = "afnrtv", kTo = "\a\f\n\r\t\v";
    if (const std::size_t k = kFrom.find(c); k != std::string_view::npos) {
      ++at_;
      const auto to = static_cast<std::uint32_t>(kTo[k]);
      return {{to, to}};
    }
    if (c == 'x') return hexadecimal();
    if (std::isalnum(static_cast<unsigned char>(c)) != 0)
      throw PatternError(std::string("'\\") + c + "' is not offered");
    const std::uint32_t same = character();
    return {{same, same}};
  }

  Ranges hexadecimal() {
    ++at_;
    std::size_t length = 2;
    if (take("{")) {
      length = text_.find('}', at_) - at_;
    }
    const std::string digits(text_.substr(at_, length));
    at_ += digits.size();
    take("}");
    const auto c = static_cast<std::uint32_t>(std::stoul("0" + digits, nullptr, 16));
    return {{c, c}};
  }

  Tree bracket() {
    Tree one;
    one.kind = Tree::Kind::kClass;
    const bool negative = take("^");
    for (bool first = true; at_end() || peek() != ']' || first; first = false) {
      if (at_end()) throw PatternError("']' expected");
      if (take("[:")) {
        const std::size_t end = text_.find(":]", at_);
        std::string_view name = text_.substr(at_, end == std::string_view::npos ? end : end - at_);
        const bool not_these = name.starts_with('^');
        if (not_these) name.remove_prefix(1);
        auto ranges = named_class(name);
        if (!ranges) throw PatternError("unknown class of characters");
        if (flags_.fold) fold(*ranges);
        at_ = end + 2;
        const Ranges& these = not_these ? negated(*ranges) : *ranges;
        one.ranges.insert(one.ranges.end(), these.begin(), these.end());
        continue;
      }
      Ranges low = bracket_item();
      if (low.size() == 1 && low[0].low == low[0].high && !perl_ && peek() == '-' && at_ + 1 < text_.size() &&
          text_[at_ + 1] != ']') {
        ++at_;
        low[0].high = bracket_item()[0].high;
      }
      one.ranges.insert(one.ranges.end(), low.begin(), low.end());
    }
    ++at_;
    if (flags_.fold) checked_fold(one.ranges);
    normalize(one.ranges);
    if (negative) one.ranges = negated(one.ranges);
    return one;
  }

  Ranges bracket_item() {
    if (peek() == '\\') return escape();
    perl_ = false;
    const std::uint32_t c = character();
    return {{c, c}};
  }

  std::string_view text_;
  std::size_t at_ = 0;
  Flags flags_;
  bool perl_ = false;  // the last escape was \d and the like
};

// ---- from the tree to steps ----

class Builder {
 public:
  Steps steps;

  // The step at which `tree` begins, where `next` follows it.
  int build(const Tree& tree, int next) {
    switch (tree.kind) {
      case Tree::Kind::kEmpty:
        return next;
      case Tree::Kind::kClass:
        return characters(tree.ranges, next);
      case Tree::Kind::kBegin:
        return steps.add({State::Kind::kBegin, 0, 0, next, -1});
      case Tree::Kind::kEnd:
        return steps.add({State::Kind::kEnd, 0, 0, next, -1});
      case Tree::Kind::kSequence:
        for (auto it = tree.kids.rbegin(); it != tree.kids.rend(); ++it) next = build(*it, next);
        return next;
      case Tree::Kind::kChoice: {
        int first = build(tree.kids.front(), next);
        for (std::size_t i = 1; i < tree.kids.size(); ++i)
          first = steps.split(first, build(tree.kids[i], next));
        return first;
      }
      case Tree::Kind::kRepeat:
        return repeat(tree, next);
    }
    return next;
  }

 private:
  int repeat(const Tree& tree, int next) {
    const Tree& one = tree.kids.front();
    if (tree.maximum < 0) {
      const int loop = steps.split(-1, next);
      const int begin = build(one, loop);
      steps.states[static_cast<std::size_t>(loop)].next = begin;
      next = loop;
    } else {
      for (int i = tree.minimum; i < tree.maximum; ++i) next = steps.split(build(one, next), next);
    }
    for (int i = 0; i < tree.minimum; ++i) next = build(one, next);
    return next;
  }

  int characters(const Ranges& ranges, int next) {
    int all = -1;
    for (const Range& r : ranges) encoded(r.low, r.high, next, all);
    return all >= 0 ? all : steps.byte(1, 0, next);  // no character at all: a byte that never comes
  }

  void or_else(int& all, int one) { all = all < 0 ? one : steps.split(all, one); }

  // The characters from low to high as sequences of byte ranges, each of one length and with whole tails.
  void encoded(std::uint32_t low, std::uint32_t high, int next, int& all) {
    if (low > high) return;
    for (const std::uint32_t last : {0x7FU, 0x7FFU, 0xFFFFU}) {
      if (low <= last && high > last) {
        encoded(low, last, next, all);
        return encoded(last + 1, high, next, all);
      }
    }
    if (high < 0x80)
      return or_else(all, steps.byte(static_cast<std::uint8_t>(low), static_cast<std::uint8_t>(high), next));
    for (unsigned shift = 6; shift <= 18; shift += 6) {
      const std::uint32_t tail = (1U << shift) - 1;
      if ((low & ~tail) == (high & ~tail)) continue;
      if ((low & tail) != 0) {
        encoded(low, low | tail, next, all);
        return encoded((low | tail) + 1, high, next, all);
      }
      if ((high & tail) != tail) {
        encoded(low, (high & ~tail) - 1, next, all);
        return encoded(high & ~tail, high, next, all);
      }
    }
    std::string a, b;
    cue::encode_utf8(a, low);
    cue::encode_utf8(b, high);
    for (std::size_t i = a.size(); i-- > 0;)
      next = steps.byte(static_cast<std::uint8_t>(a[i]), static_cast<std::uint8_t>(b[i]), next);
    or_else(all, next);
  }
};

// The steps that stand open at one place of the text, in order of their numbers.
using Open = std::vector<int>;

class Closure {
 public:
  explicit Closure(const std::vector<State>& states) : states_(states), seen_(states.size()) {}

  // All that is reached from `from` without a byte. Steps that wait for the text's end are kept, and passed
  // only where it is the end.
  Open of(const Open& from, bool begin, bool end) {
    std::fill(seen_.begin(), seen_.end(), false);
    Open open;
    std::vector<int> stack(from.rbegin(), from.rend());
    while (!stack.empty()) {
      const int at = stack.back();
      stack.pop_back();
      if (at < 0 || seen_[static_cast<std::size_t>(at)]) continue;
      seen_[static_cast<std::size_t>(at)] = true;
      const State& s = states_[static_cast<std::size_t>(at)];
      switch (s.kind) {
        case State::Kind::kSplit:
          stack.push_back(s.other);
          stack.push_back(s.next);
          break;
        case State::Kind::kBegin:
          if (begin) stack.push_back(s.next);
          break;
        case State::Kind::kEnd:
          open.push_back(at);
          if (end) stack.push_back(s.next);
          break;
        default:
          open.push_back(at);
      }
    }
    std::sort(open.begin(), open.end());
    return open;
  }

 private:
  const std::vector<State>& states_;
  std::vector<bool> seen_;
};

}  // namespace

Automaton::Automaton(const std::string& pattern) {
  re2::RE2::Options options;
  options.set_log_errors(false);
  options.set_max_mem(1 << 20);
  const re2::RE2 judge(pattern, options);
  if (!judge.ok()) throw PatternError(judge.error());
  const Tree tree = Parser(pattern).parse();
  Builder builder;
  const int match = builder.steps.add({State::Kind::kMatch, 0, 0, -1, -1});
  const int first = builder.build(tree, match);
  const std::vector<State>& steps = builder.steps.states;

  // Bytes between two borders of ranges are never told apart.
  std::array<bool, 257> border{};
  for (const State& s : steps) {
    if (s.kind == State::Kind::kByte && s.low <= s.high) border[s.low] = border[s.high + 1U] = true;
  }
  std::vector<std::uint8_t> samples{0};
  for (unsigned b = 1; b < 256; ++b) {
    if (border[b]) samples.push_back(static_cast<std::uint8_t>(b));
    classes_[b] = static_cast<std::uint8_t>(samples.size() - 1);
  }
  width_ = static_cast<std::uint32_t>(samples.size());

  Closure closure(steps);
  const auto matched = [&](const Open& open) { return std::binary_search(open.begin(), open.end(), match); };
  std::map<Open, std::uint32_t> numbers;
  std::vector<Open> open(kDecided);
  at_end_ = {0, 1};
  const auto number = [&](Open set) -> std::uint32_t {
    if (matched(set)) return kYes;
    const auto [it, fresh] = numbers.emplace(set, static_cast<std::uint32_t>(open.size()));
    if (!fresh) return it->second;
    if (open.size() >= kMaxStates)
      throw PatternError("the pattern needs more than " + std::to_string(kMaxStates) + " states");
    at_end_.push_back(matched(closure.of(set, false, true)) ? 1 : 0);
    open.push_back(std::move(set));
    return it->second;
  };
  // A match may begin anywhere. At the very start the text may also be at its end: an empty one.
  // It is a state of its own: what holds at the start holds nowhere else.
  Open start = closure.of({first}, true, false);
  const std::uint32_t begin = matched(start) ? kYes : kDecided;
  if (begin != kYes) {
    at_end_.push_back(matched(closure.of({first}, true, true)) ? 1 : 0);
    open.push_back(std::move(start));
  }
  next_.assign(kDecided * width_, 0);
  std::fill(next_.begin() + width_, next_.end(), kYes * width_);
  std::size_t work = 0;
  for (std::size_t i = kDecided; i < open.size(); ++i) {
    for (const std::uint8_t sample : samples) {
      Open next;
      for (const int at : open[i]) {
        const State& s = steps[static_cast<std::size_t>(at)];
        if (s.kind == State::Kind::kByte && s.low <= sample && sample <= s.high) next.push_back(s.next);
      }
      next.push_back(first);
      work += open[i].size() + next.size();
      if (work > kMaxWork) throw PatternError("the pattern takes too much work to prepare");
      Open reached = closure.of(next, false, false);
      // A pattern bound to the text's start has nothing left to wait for.
      next_.push_back((reached.empty() ? kNo : number(std::move(reached))) * width_);
    }
  }
  start_ = begin * width_;
}

}  // namespace dispatcher::expression
