#include "cue/schema.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "cue/data_builder.hpp"
#include "cue/evaluator.hpp"
#include "cue/unifier.hpp"

namespace dispatcher::cue {

namespace {

// Clears the positions within the schema, which are of no use to the author of a file.
void clear_positions(Expression& expression) {
  expression.position = {};
  for (Expression& child : expression.children) clear_positions(child);
  for (Expression::Field& field : expression.fields) {
    field.position = {};
    for (Expression& value : field.value) clear_positions(value);
  }
}

void throw_if_any(const std::string& name, std::vector<Problem> problems) {
  if (problems.empty()) return;
  std::stable_sort(problems.begin(), problems.end(), [](const Problem& left, const Problem& right) {
    return std::pair(left.at.line, left.at.column) < std::pair(right.at.line, right.at.column);
  });
  throw Errors(name, std::move(problems));
}

// Applies `evaluate` to an evaluator of the file and returns its result, or a default-constructed result if a
// limit was reached. Every Evaluator is constructed here, because its constructor may throw LimitReached too.
// Problems are left in the context.
template <class Evaluate>
auto evaluate_within_limits(EvaluationContext& context, Expression file, Evaluate evaluate)
    -> std::invoke_result_t<Evaluate, Evaluator&> {
  try {
    Evaluator evaluator(context, std::move(file));
    return evaluate(evaluator);
  } catch (const LimitReached&) {
    return {};
  }
}

// Returns the data of a file that satisfies `root`, or a null if a problem was reported.
Data unify_with_schema(EvaluationContext& context, const ValuePtr& root, const ValuePtr& value) {
  if (value == nullptr) return {};
  const ValuePtr unified = Unifier(context).unify(root, value);
  if (unified == nullptr) return {};
  return DataBuilder(context).build(unified);
}

}  // namespace

Schema::Schema(std::string_view cue, const std::string& root) {
  Expression definitions = parse({"schema", std::string(cue)});
  clear_positions(definitions);
  EvaluationContext context;
  root_ = evaluate_within_limits(context, std::move(definitions),
                                 [&](Evaluator& evaluator) { return evaluator.evaluate_definition(root); });
  throw_if_any("schema", context.problems());
}

Data Schema::read(const File& file) const {
  EvaluationContext context;
  Data data = evaluate_within_limits(context, parse(file), [&](Evaluator& evaluator) {
    return unify_with_schema(context, root_, evaluator.evaluate_file());
  });
  throw_if_any(file.name, context.problems());
  return data;
}

Problem problem(const Data& at, std::string what) { return {at.where(), at.path(), std::move(what)}; }

}  // namespace dispatcher::cue
