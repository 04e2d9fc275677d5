#include "cue/unifier.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::cue {

namespace {

bool is_only(const Value& value, const Value& other, KindSet kind) {
  return (value.kinds & other.kinds) == kind && value.bounds.empty() && other.bounds.empty();
}

// Returns the constraint on the item at `index`, or null if the list is too short to have this item.
ValuePtr item_at(const Value& list, std::size_t index) {
  return index < list.items.size() ? list.items[index] : list.further_items;
}

}  // namespace

ValuePtr Unifier::unify(const ValuePtr& expected, const ValuePtr& found) {
  context_.count_step(file_position(expected, found));
  context_.check_depth(file_position(expected, found));
  if (expected == found) return expected;
  if (!expected->disjuncts.empty() || !found->disjuncts.empty())
    return unify_disjunctions(*this, context_, expected, found);
  if ((expected->kinds & found->kinds) == 0) return report_conflict(expected, found);
  if (is_top(*expected)) return found;
  if (is_top(*found)) return expected;
  if (is_only(*expected, *found, kStructKind)) return unify_structs(*this, context_, expected, found);
  if (is_only(*expected, *found, kListKind)) return unify_lists(expected, found);
  return unify_scalars(expected, found);
}

ValuePtr Unifier::try_unify(const ValuePtr& expected, const ValuePtr& found) {
  EvaluationContext::Trial trial(context_);
  ValuePtr unified = unify(expected, found);
  if (!trial.succeeded()) return nullptr;
  return unified;
}

ValuePtr Unifier::report_conflict(const ValuePtr& expected, const ValuePtr& found) {
  // If only one value is the schema's, it is the expected one, whichever side it is on.
  const bool is_swapped = expected->position.in_file() && !found->position.in_file();
  const Value& expectation = is_swapped ? *found : *expected;
  const Value& finding = is_swapped ? *expected : *found;
  std::string what;
  if (!context_.in_trial()) {
    what = "expected " + describe(expectation) + ", found " + describe(finding);
    const Position& other = expectation.position;
    if (other.in_file())
      what +=
          " (the other value is at " + std::to_string(other.line) + ":" + std::to_string(other.column) + ")";
  }
  context_.report(finding.position, std::move(what));
  return nullptr;
}

ValuePtr Unifier::unify_scalars(const ValuePtr& left, const ValuePtr& right) {
  if (left->scalar && right->scalar && *left->scalar != *right->scalar) return report_conflict(left, right);
  const auto unified = make_value(file_position(left, right), left->kinds & right->kinds);
  unified->scalar = right->scalar ? right->scalar : left->scalar;
  unified->bounds = left->bounds;
  unified->bounds.insert(unified->bounds.end(), right->bounds.begin(), right->bounds.end());
  if (!unified->scalar) return unified;
  const bool is_within = std::all_of(unified->bounds.begin(), unified->bounds.end(),
                                     [&](const Bound& bound) { return satisfies(*unified->scalar, bound); });
  if (!is_within) return report_conflict(left, right);
  unified->bounds.clear();
  return unified;
}

ValuePtr Unifier::unify_lists(const ValuePtr& left, const ValuePtr& right) {
  const auto unified = make_value(file_position(left, right), kListKind);
  const std::size_t size = std::max(left->items.size(), right->items.size());
  bool is_valid = true;
  for (std::size_t i = 0; i < size; ++i) {
    const ValuePtr left_item = item_at(*left, i);
    const ValuePtr right_item = item_at(*right, i);
    const EvaluationContext::PathElement element(context_, i);
    if (left_item == nullptr || right_item == nullptr) return report_list_size(left, right);
    const ValuePtr item = unify(left_item, right_item);
    is_valid = is_valid && item != nullptr;
    unified->items.push_back(item);
  }
  if (left->further_items != nullptr && right->further_items != nullptr) {
    unified->further_items = try_unify(left->further_items, right->further_items);
    if (unified->further_items == nullptr) unified->further_items = make_value(unified->position, 0);
  }
  if (!is_valid) return nullptr;
  return unified;
}

// Reports that the lists differ in size. The current path must be that of the longer list's first surplus
// item.
ValuePtr Unifier::report_list_size(const ValuePtr& left, const ValuePtr& right) {
  const bool is_left_shorter = left->items.size() < right->items.size();
  const Value& shorter = is_left_shorter ? *left : *right;
  const Value& longer = is_left_shorter ? *right : *left;
  context_.report(file_position(left, right), "expected a list of " + std::to_string(shorter.items.size()) +
                                                  ", found one of " + std::to_string(longer.items.size()));
  return nullptr;
}

}  // namespace dispatcher::cue
