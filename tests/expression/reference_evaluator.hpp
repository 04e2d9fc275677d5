// A second implementation of the expression language, for comparison: a plain walk of the checked tree.
#ifndef DISPATCHER_TESTS_EXPRESSION_REFERENCE_EVALUATOR_HPP_
#define DISPATCHER_TESTS_EXPRESSION_REFERENCE_EVALUATOR_HPP_

#include <deque>
#include <string>
#include <vector>

#include "expression/ast.hpp"
#include "expression/value.hpp"

namespace dispatcher::testing {

// Owns the strings that it makes, of which its results are views.
class ReferenceEvaluator {
 public:
  explicit ReferenceEvaluator(const std::vector<expression::Value>& fields) : fields_(fields) {}

  expression::Value evaluate(const expression::Node& node);

 private:
  using Values = std::vector<expression::Value>;

  expression::Value own(std::string text);
  expression::Value evaluate_logic(const expression::Node& node);
  expression::Value evaluate_conditional(const expression::Node& node);
  expression::Value evaluate_lookup(const expression::Node& node);
  expression::Value lookup(const expression::Node& node, const expression::Value& key);
  expression::Value evaluate_operator(const expression::Node& node, const Values& operands);
  expression::Value evaluate_arithmetic(const expression::Node& node, const Values& operands);
  expression::Value evaluate_call(const expression::Node& node, const Values& arguments);

  const std::vector<expression::Value>& fields_;
  std::deque<std::string> made_;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_EXPRESSION_REFERENCE_EVALUATOR_HPP_
