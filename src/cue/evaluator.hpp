// Evaluates the syntax tree of a file to values.
#ifndef DISPATCHER_CUE_EVALUATOR_HPP_
#define DISPATCHER_CUE_EVALUATOR_HPP_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cue/evaluation_context.hpp"
#include "cue/syntax.hpp"
#include "cue/unifier.hpp"

namespace dispatcher::cue {

/// Evaluates one file. Refers to the context, which must outlive it. All functions may throw LimitReached,
/// and report problems to the context.
class Evaluator {
 public:
  /// Takes the file that parse() returned. Reports repeated definitions, so the constructor may throw
  /// LimitReached too.
  Evaluator(EvaluationContext& context, Expression file);

  /// Returns the struct that the file consists of, without its definitions. All definitions are evaluated,
  /// even if nothing refers to them. Returns null if the struct has no valid value.
  [[nodiscard]] ValuePtr evaluate_file();
  /// Returns the value of a definition, or null if it has no valid value.
  [[nodiscard]] ValuePtr evaluate_definition(const std::string& name);

 private:
  // Whether structs are open, that is, allow fields that they do not name. Within a definition `#Name`, only
  // structs that end in `...` are open.
  enum class Openness { kOpen, kClosed };
  // Maps each label to the index of its field in the struct being built.
  using FieldIndex = std::unordered_map<std::string_view, std::size_t>;

  ValuePtr evaluate(const Expression& expression, Openness openness);
  ValuePtr evaluate_reference(const std::string& name, Position position);
  ValuePtr evaluate_bound(const Expression& expression);
  ValuePtr evaluate_conjunction(const Expression& expression, Openness openness);
  ValuePtr evaluate_disjunction(const Expression& expression, Openness openness);
  ValuePtr evaluate_list(const Expression& expression, Openness openness);
  ValuePtr evaluate_struct(const Expression& expression, Openness openness);
  bool evaluate_field(const Expression::Field& field, Openness openness, Value& structure, FieldIndex& index);
  bool add_field(const Expression::Field& field, const ValuePtr& value, Value& structure, FieldIndex& index);
  ValuePtr apply_own_patterns(const Value& structure);

  EvaluationContext& context_;
  Unifier unifier_;
  Expression file_;                                // without the definitions
  std::map<std::string, Expression> definitions_;  // by name
  std::map<std::string, ValuePtr> evaluated_;      // values of definitions; null if invalid
  std::set<std::string> evaluating_;               // the current chain of references, used to detect cycles
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_EVALUATOR_HPP_
