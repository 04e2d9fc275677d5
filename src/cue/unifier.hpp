// Unification: the most general value that is an instance of two others.
#ifndef DISPATCHER_CUE_UNIFIER_HPP_
#define DISPATCHER_CUE_UNIFIER_HPP_

#include "cue/evaluation_context.hpp"
#include "cue/value.hpp"

namespace dispatcher::cue {

inline constexpr std::size_t kMaxDisjuncts = 1024;  // of one value; unification multiplies the numbers of two

/// Unifies values within one evaluation. Refers to the context, which must outlive it. All functions may
/// throw LimitReached.
class Unifier {
 public:
  explicit Unifier(EvaluationContext& context) : context_(context) {}

  /// Returns the unification of two values. If there is none, reports that and returns null. Error messages
  /// show `expected` as the expected value, unless it is the only one with a position in the file; then they
  /// show `found` as the expected value.
  [[nodiscard]] ValuePtr unify(const ValuePtr& expected, const ValuePtr& found);
  /// Like unify(), but reports nothing.
  [[nodiscard]] ValuePtr try_unify(const ValuePtr& expected, const ValuePtr& found);
  /// Reports that the two values cannot be unified. Returns null.
  ValuePtr report_conflict(const ValuePtr& expected, const ValuePtr& found);

 private:
  ValuePtr unify_scalars(const ValuePtr& left, const ValuePtr& right);
  ValuePtr unify_lists(const ValuePtr& left, const ValuePtr& right);
  ValuePtr report_list_size(const ValuePtr& left, const ValuePtr& right);

  EvaluationContext& context_;
};

/// The cases of Unifier::unify() that are implemented in files of their own: two structs, and two values of
/// which at least one is a disjunction.
[[nodiscard]] ValuePtr unify_structs(Unifier& unifier, EvaluationContext& context, const ValuePtr& left,
                                     const ValuePtr& right);
[[nodiscard]] ValuePtr unify_disjunctions(Unifier& unifier, EvaluationContext& context,
                                          const ValuePtr& expected, const ValuePtr& found);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_UNIFIER_HPP_
