#include "expression/first_match.hpp"

#include <algorithm>
#include <array>

namespace dispatcher::expression {

namespace {

constexpr double kFindNs = 40, kFindByteNs = 1;  // a field's value looked up
constexpr double kTryNs = 15;                    // a condition begun, besides its own cost
constexpr std::size_t kMaxValues = 64;           // of a membership that conditions are found by

Value value_of(const Node& literal) {
  if (literal.type.kind == Kind::kString) return Value::of(std::string_view(literal.text));
  return Value::of(literal.integer);
}

bool can_find(const Node& n) { return n.type.kind == Kind::kString || n.type.kind == Kind::kInt; }

}  // namespace

std::vector<const Node*> parts(const Node& condition) {
  std::vector<const Node*> all;
  if (condition.op != Op::kAnd) return {&condition};
  for (const Node& kid : condition.kids) {
    const auto inner = parts(kid);
    all.insert(all.end(), inner.begin(), inner.end());
  }
  return all;
}

std::optional<Membership> membership(const Node& part) {
  const auto of = [](const Node& field,
                     const std::vector<const Node*>& literals) -> std::optional<Membership> {
    if (field.op != Op::kField || !can_find(field)) return std::nullopt;
    Membership m{static_cast<int>(field.integer), {}};
    for (const Node* literal : literals) {
      if (literal->op != Op::kLiteral) return std::nullopt;
      m.values.push_back(value_of(*literal));
    }
    return m;
  };
  if (part.op == Op::kEqual) {
    if (part.kids[0].op == Op::kLiteral) return of(part.kids[1], {&part.kids[0]});
    return of(part.kids[0], {&part.kids[1]});
  }
  if (part.op != Op::kIn || part.kids[1].op != Op::kList) return std::nullopt;
  std::vector<const Node*> literals;
  for (const Node& kid : part.kids[1].kids) literals.push_back(&kid);
  return of(part.kids[0], literals);
}

FirstMatch::ByField* FirstMatch::by_field(int field) {
  const auto it =
      std::find_if(by_field_.begin(), by_field_.end(), [&](const auto& b) { return b.field == field; });
  if (it != by_field_.end()) return &*it;
  if (by_field_.size() >= kMaxFields) return nullptr;
  by_field_.emplace_back().field = field;
  return &by_field_.back();
}

FirstMatch::Numbers& FirstMatch::group(ByField& by, const Value& value) {
  return value.kind == Kind::kString ? by.texts[value.text()] : by.integers[value.integer];
}

FirstMatch::FirstMatch(std::vector<Program> conditions, const Environment& fields)
    : conditions_(std::move(conditions)) {
  by_field_.reserve(kMaxFields);
  for (std::size_t i = 0; i < conditions_.size(); ++i) {
    // Of several memberships the one whose groups are smallest so far.
    std::optional<Membership> best;
    std::size_t minimum = SIZE_MAX;
    for (const Node* part : parts(conditions_[i].tree())) {
      auto m = membership(*part);
      ByField* by = m && m->values.size() <= kMaxValues ? by_field(m->field) : nullptr;
      if (by == nullptr) continue;
      std::size_t largest = 0;
      for (const Value& v : m->values) {
        const Numbers* present = found(*by, v);
        largest = std::max(largest, present == nullptr ? 0 : present->size());
      }
      if (largest >= minimum) continue;
      minimum = largest;
      best = std::move(m);
    }
    const auto number = static_cast<std::uint32_t>(i);
    if (!best) {
      rest_.push_back(number);
      continue;
    }
    ByField& by = *by_field(best->field);
    for (const Value& v : best->values) {
      Numbers& numbers = group(by, v);
      if (numbers.empty() || numbers.back() != number) numbers.push_back(number);
    }
  }
  std::erase_if(by_field_, [](const ByField& b) { return b.texts.empty() && b.integers.empty(); });
  worst_ns_ = cost(rest_);
  for (const ByField& by : by_field_) {
    double maximum = 0;
    for (const auto& [text, numbers] : by.texts) maximum = std::max(maximum, cost(numbers));
    for (const auto& [integer, numbers] : by.integers) maximum = std::max(maximum, cost(numbers));
    const std::size_t longest = fields.fields()[static_cast<std::size_t>(by.field)].longest;
    worst_ns_ += kFindNs + kFindByteNs * static_cast<double>(longest) + maximum;
  }
}

double FirstMatch::cost(const Numbers& numbers) {
  double ns = 0;
  for (const std::uint32_t i : numbers) {
    const double one = conditions_[i].worst_ns();
    ns += one + kTryNs;
    if (one <= costliest_ns_) continue;
    costliest_ns_ = one;
    costliest_ = static_cast<int>(i);
  }
  return ns;
}

const FirstMatch::Numbers* FirstMatch::found(const ByField& by, const Value& value) const noexcept {
  if (value.kind == Kind::kString) {
    const auto it = by.texts.find(value.text());
    return it == by.texts.end() ? nullptr : &it->second;
  }
  const auto it = value.kind == Kind::kInt ? by.integers.find(value.integer) : by.integers.end();
  return it == by.integers.end() ? nullptr : &it->second;
}

int FirstMatch::find(std::span<const Value> fields, Scratch& scratch) const noexcept {
  std::array<std::span<const std::uint32_t>, kMaxFields + 1> open;
  std::size_t count = 0;
  if (!rest_.empty()) open[count++] = rest_;
  for (const ByField& by : by_field_) {
    const Numbers* numbers = found(by, fields[static_cast<std::size_t>(by.field)]);
    if (numbers != nullptr) open[count++] = *numbers;
  }
  while (count > 0) {
    std::size_t first = 0;
    for (std::size_t i = 1; i < count; ++i) {
      if (open[i].front() < open[first].front()) first = i;
    }
    const std::uint32_t number = open[first].front();
    open[first] = open[first].subspan(1);
    if (open[first].empty()) open[first] = open[--count];
    if (conditions_[number].run(fields, scratch).is(true)) return static_cast<int>(number);
  }
  return -1;
}

void FirstMatch::reserve(Scratch& scratch) const {
  for (const Program& p : conditions_) scratch.reserve(p.max_values(), p.max_text());
}

std::size_t FirstMatch::bytes() const {
  std::size_t all = 0;
  for (const Program& p : conditions_) all += p.bytes();
  return all;
}

}  // namespace dispatcher::expression
