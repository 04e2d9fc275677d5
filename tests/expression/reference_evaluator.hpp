// A second implementation of the expression language, for comparison. It walks the checked tree.
#ifndef DISPATCHER_TESTS_EXPRESSION_REFERENCE_EVALUATOR_HPP_
#define DISPATCHER_TESTS_EXPRESSION_REFERENCE_EVALUATOR_HPP_

#include <deque>
#include <string>
#include <vector>

#include "expression/ast.hpp"
#include "expression/value.hpp"

namespace dispatcher::testing {

// Evaluates checked trees. Owns the strings that it creates; results are views of them.
class ReferenceEvaluator {
 public:
  explicit ReferenceEvaluator(const std::vector<expression::Value>& fields) : fields_(fields) {}

  // Returns the value of the tree below `node`.
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
  std::deque<std::string> created_strings_;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_EXPRESSION_REFERENCE_EVALUATOR_HPP_
