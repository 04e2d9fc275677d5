#include "expression/first_match.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace dispatcher::expression {

namespace {

// Worst-case costs, in ns.
constexpr double kLookupNs = 40;     // looking up a field's value in its index, in addition to its bytes
constexpr double kLookupByteNs = 1;  // each byte of that value
constexpr double kTryNs = 15;        // evaluating a condition, in addition to its own cost

// The maximum number of values of a membership test that is indexed. Bounds the memory, as each value takes
// an entry.
constexpr std::size_t kMaxIndexedValues = 64;

}  // namespace

const FirstMatch::Indices* FirstMatch::FieldIndex::find(const Value& value) const {
  if (value.kind == Kind::kString) {
    const auto it = by_string.find(value.text());
    return it == by_string.end() ? nullptr : &it->second;
  }
  if (value.kind != Kind::kInt) return nullptr;
  const auto it = by_integer.find(value.integer);
  return it == by_integer.end() ? nullptr : &it->second;
}

FirstMatch::Indices& FirstMatch::FieldIndex::find_or_add(const Value& value) {
  return value.kind == Kind::kString ? by_string[value.text()] : by_integer[value.integer];
}

FirstMatch::FirstMatch(std::vector<Program> conditions, const Environment& fields)
    : conditions_(std::move(conditions)) {
  field_indices_.reserve(kMaxIndexedFields);
  for (std::size_t i = 0; i < conditions_.size(); ++i) add_to_index(static_cast<std::uint32_t>(i));
  std::erase_if(field_indices_,
                [](const FieldIndex& index) { return index.by_string.empty() && index.by_integer.empty(); });
  compute_worst_ns(fields);
}

// Returns the index of the field, which is added if it does not exist yet, or null if kMaxIndexedFields other
// fields are indexed already.
FirstMatch::FieldIndex* FirstMatch::find_or_add_index(int field) {
  const auto it = std::find_if(field_indices_.begin(), field_indices_.end(),
                               [&](const FieldIndex& index) { return index.field == field; });
  if (it != field_indices_.end()) return &*it;
  if (field_indices_.size() >= kMaxIndexedFields) return nullptr;
  field_indices_.emplace_back().field = field;
  return &field_indices_.back();
}

// Returns the membership test to index a condition by, or nullopt if there is none. Of several tests, selects
// the one whose largest group is the smallest so far.
std::optional<Membership> FirstMatch::choose_membership(const Node& condition) {
  std::optional<Membership> best;
  std::size_t smallest = SIZE_MAX;
  for (const Node* conjunct : conjuncts(condition)) {
    auto candidate = membership(*conjunct);
    if (!candidate || candidate->values.size() > kMaxIndexedValues) continue;
    const FieldIndex* index = find_or_add_index(candidate->field);
    if (index == nullptr) continue;
    std::size_t largest = 0;
    for (const Value& value : candidate->values) {
      const Indices* group = index->find(value);
      if (group != nullptr) largest = std::max(largest, group->size());
    }
    if (largest >= smallest) continue;
    smallest = largest;
    best = std::move(candidate);
  }
  return best;
}

void FirstMatch::add_to_index(std::uint32_t condition) {
  const auto membership = choose_membership(conditions_[condition].tree());
  if (!membership) {
    unindexed_.push_back(condition);
    return;
  }
  FieldIndex& index = *find_or_add_index(membership->field);
  for (const Value& value : membership->values) {
    Indices& group = index.find_or_add(value);
    const bool is_repeated = !group.empty() && group.back() == condition;  // the test repeats a value
    if (!is_repeated) group.push_back(condition);
  }
}

void FirstMatch::compute_worst_ns(const Environment& fields) {
  worst_ns_ = group_ns(unindexed_);
  for (const FieldIndex& index : field_indices_) {
    double largest_ns = 0;
    for (const auto& [text, group] : index.by_string) largest_ns = std::max(largest_ns, group_ns(group));
    for (const auto& [integer, group] : index.by_integer) largest_ns = std::max(largest_ns, group_ns(group));
    const std::size_t max_length = fields.fields()[static_cast<std::size_t>(index.field)].max_length;
    worst_ns_ += kLookupNs + kLookupByteNs * static_cast<double>(max_length) + largest_ns;
  }
}

double FirstMatch::group_ns(const Indices& indices) {
  double total_ns = 0;
  for (const std::uint32_t index : indices) {
    const double condition_ns = conditions_[index].worst_ns();
    total_ns += condition_ns + kTryNs;
    if (condition_ns <= costliest_ns_) continue;
    costliest_ns_ = condition_ns;
    costliest_ = static_cast<int>(index);
  }
  return total_ns;
}

int FirstMatch::find(std::span<const Value> fields, Scratch& scratch) const noexcept {
  std::array<std::span<const std::uint32_t>, kMaxIndexedFields + 1> groups;
  std::size_t count = 0;
  if (!unindexed_.empty()) groups[count++] = unindexed_;
  for (const FieldIndex& index : field_indices_) {
    const Indices* group = index.find(fields[static_cast<std::size_t>(index.field)]);
    if (group != nullptr) groups[count++] = *group;
  }
  // Merges the groups, so that the conditions are evaluated in the order of the list.
  while (count > 0) {
    std::size_t first = 0;
    for (std::size_t i = 1; i < count; ++i) {
      if (groups[i].front() < groups[first].front()) first = i;
    }
    const std::uint32_t condition = groups[first].front();
    groups[first] = groups[first].subspan(1);
    if (groups[first].empty()) groups[first] = groups[--count];
    if (conditions_[condition].run(fields, scratch).is(true)) return static_cast<int>(condition);
  }
  return -1;
}

void FirstMatch::reserve(Scratch& scratch) const {
  for (const Program& condition : conditions_) scratch.reserve(condition.max_values(), condition.max_text());
}

std::size_t FirstMatch::bytes() const {
  std::size_t bytes = 0;
  for (const Program& condition : conditions_) bytes += condition.bytes();
  return bytes;
}

}  // namespace dispatcher::expression
