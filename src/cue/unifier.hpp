// Unification: the most general value that is an instance of two others.
#ifndef DISPATCHER_CUE_UNIFIER_HPP_
#define DISPATCHER_CUE_UNIFIER_HPP_

#include "cue/evaluation_context.hpp"
#include "cue/value.hpp"

namespace dispatcher::cue {

inline constexpr std::size_t kMaxDisjuncts = 1024;  // of one value: unifying two multiplies their numbers

/// Unifies values within one evaluation. Refers to the context, which must outlive it. All functions may
/// throw LimitReached.
class Unifier {
 public:
  explicit Unifier(EvaluationContext& context) : context_(context) {}

  /// The unification of two values; null where there is none, which is then reported. `expected` is the side
  /// that error messages show as such, unless only it has a place in the file.
  [[nodiscard]] ValuePtr unify(const ValuePtr& expected, const ValuePtr& found);
  /// As unify(), but reports nothing.
  [[nodiscard]] ValuePtr try_unify(const ValuePtr& expected, const ValuePtr& found);
  /// Reports that the two have no unification. Returns null.
  ValuePtr report_conflict(const ValuePtr& expected, const ValuePtr& found);

 private:
  ValuePtr unify_scalars(const ValuePtr& left, const ValuePtr& right);
  ValuePtr unify_lists(const ValuePtr& left, const ValuePtr& right);
  ValuePtr report_list_size(const ValuePtr& left, const ValuePtr& right);

  EvaluationContext& context_;
};

/// The cases of Unifier::unify() that have their own files: two structs, and values of which at least one is
/// a disjunction.
[[nodiscard]] ValuePtr unify_structs(Unifier& unifier, EvaluationContext& context, const ValuePtr& left,
                                     const ValuePtr& right);
[[nodiscard]] ValuePtr unify_disjunctions(Unifier& unifier, EvaluationContext& context,
                                          const ValuePtr& expected, const ValuePtr& found);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_UNIFIER_HPP_
