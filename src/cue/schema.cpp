#include "cue/schema.hpp"

#include <algorithm>
#include <utility>

#include "cue/data_builder.hpp"
#include "cue/evaluator.hpp"
#include "cue/unifier.hpp"

namespace dispatcher::cue {

namespace {

// Positions within the schema mean nothing to the author of a file.
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

// The data of a file that satisfies `root`. Problems are left in the context.
Data evaluate_against(const ValuePtr& root, Evaluator& evaluator, EvaluationContext& context) {
  try {
    const ValuePtr value = evaluator.evaluate_file();
    if (value == nullptr) return {};
    const ValuePtr unified = Unifier(context).unify(root, value);
    if (unified == nullptr) return {};
    return DataBuilder(context).build(unified);
  } catch (const LimitReached&) {
    return {};
  }
}

}  // namespace

Schema::Schema(std::string_view cue, const std::string& root) {
  Expression definitions = parse({"schema", std::string(cue)});
  clear_positions(definitions);
  EvaluationContext context;
  Evaluator evaluator(context, std::move(definitions));
  try {
    root_ = evaluator.evaluate_definition(root);
  } catch (const LimitReached&) {
    root_ = nullptr;
  }
  throw_if_any("schema", context.problems());
}

Data Schema::read(const File& file) const {
  EvaluationContext context;
  Evaluator evaluator(context, parse(file));
  Data data = evaluate_against(root_, evaluator, context);
  throw_if_any(file.name, context.problems());
  return data;
}

Problem problem(const Data& at, std::string what) { return {at.where(), at.path(), std::move(what)}; }

}  // namespace dispatcher::cue
