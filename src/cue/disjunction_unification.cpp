// Unification of two values of which at least one is a disjunction. Each pair of disjuncts that can be
// unified yields a disjunct of the result.
#include <algorithm>

#include "cue/unifier.hpp"

namespace dispatcher::cue {

namespace {

using Disjuncts = std::vector<Value::Disjunct>;

// Returns the disjuncts of a value. A value that is not a disjunction is its own only disjunct.
Disjuncts disjuncts_of(const ValuePtr& value) {
  if (!value->disjuncts.empty()) return value->disjuncts;
  return {{value, false}};
}

// The unification of one pair of values.
class DisjunctionUnification {
 public:
  DisjunctionUnification(Unifier& unifier, EvaluationContext& context, const ValuePtr& expected,
                         const ValuePtr& found)
      : unifier_(unifier),
        context_(context),
        expected_(expected),
        found_(found),
        expected_disjuncts_(disjuncts_of(expected)),
        found_disjuncts_(disjuncts_of(found)),
        unified_(make_value(file_position(expected, found), 0)) {}

  ValuePtr run() {
    for (const Value::Disjunct& expected : expected_disjuncts_) {
      for (const Value::Disjunct& found : found_disjuncts_) {
        unify_pair(expected, found);
        if (unified_->disjuncts.size() > kMaxDisjuncts) {
          context_.report(unified_->position, "more than " + std::to_string(kMaxDisjuncts) + " alternatives");
          return nullptr;
        }
      }
    }
    if (unified_->disjuncts.empty()) return report_failure();
    if (unified_->disjuncts.size() == 1) return unified_->disjuncts.front().value;
    return unified_;
  }

 private:
  void unify_pair(const Value::Disjunct& expected, const Value::Disjunct& found) {
    if ((expected.value->kinds & found.value->kinds) == 0) return;
    const ValuePtr value = unifier_.try_unify(expected.value, found.value);
    if (value != nullptr) add_disjunct({value, is_default(expected, found)});
  }

  // Adds a disjunct. If an existing disjunct is the same scalar, merges the default mark into it instead.
  void add_disjunct(const Value::Disjunct& added) {
    Disjuncts& disjuncts = unified_->disjuncts;
    const auto same = std::find_if(disjuncts.begin(), disjuncts.end(), [&](const Value::Disjunct& disjunct) {
      return added.value->scalar && disjunct.value->scalar == added.value->scalar;
    });
    if (same != disjuncts.end()) {
      same->is_default = same->is_default || added.is_default;
      return;
    }
    unified_->kinds |= added.value->kinds;
    disjuncts.push_back(added);
  }

  // A pair is a default if, on each side that has defaults, its disjunct is a default.
  [[nodiscard]] bool is_default(const Value::Disjunct& expected, const Value::Disjunct& found) const {
    if (!expected_has_default_ && !found_has_default_) return false;
    return (!expected_has_default_ || expected.is_default) && (!found_has_default_ || found.is_default);
  }

  // Reports that no pair can be unified. If the value found is not a disjunction and exactly one expected
  // disjunct is similar to it, reports the problems of unifying these two instead, as they are more specific.
  ValuePtr report_failure() {
    if (found_disjuncts_.size() != 1) return unifier_.report_conflict(expected_, found_);
    ValuePtr similar;
    for (const Value::Disjunct& disjunct : expected_disjuncts_) {
      if (!is_similar(*disjunct.value)) continue;
      if (similar != nullptr) return unifier_.report_conflict(expected_, found_);
      similar = disjunct.value;
    }
    if (similar == nullptr) return unifier_.report_conflict(expected_, found_);
    return unifier_.unify(similar, found_);
  }

  // Returns whether a disjunct is a struct or list like the value found. A list of fixed size must also have
  // the size of the list found.
  [[nodiscard]] bool is_similar(const Value& disjunct) const {
    if ((disjunct.kinds & found_->kinds & (kStructKind | kListKind)) == 0) return false;
    const bool has_fixed_size = disjunct.kinds == kListKind && disjunct.further_items == nullptr;
    return !has_fixed_size || disjunct.items.size() == found_->items.size();
  }

  Unifier& unifier_;
  EvaluationContext& context_;
  ValuePtr expected_;
  ValuePtr found_;
  Disjuncts expected_disjuncts_;
  Disjuncts found_disjuncts_;
  bool expected_has_default_ = has_default(expected_disjuncts_);
  bool found_has_default_ = has_default(found_disjuncts_);
  std::shared_ptr<Value> unified_;
};

}  // namespace

ValuePtr unify_disjunctions(Unifier& unifier, EvaluationContext& context, const ValuePtr& expected,
                            const ValuePtr& found) {
  return DisjunctionUnification(unifier, context, expected, found).run();
}

}  // namespace dispatcher::cue
