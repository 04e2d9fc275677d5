// What the tests of expressions share: an environment, one request's values in it, and evaluation to text.
#ifndef DISPATCHER_TESTS_EXPRESSION_EXPRESSION_FIXTURE_HPP_
#define DISPATCHER_TESTS_EXPRESSION_EXPRESSION_FIXTURE_HPP_

#include <string>
#include <vector>

#include "expression/program.hpp"
#include "expression/value.hpp"

namespace dispatcher::testing {

// The numbers of the fields in expression_fields().
enum FieldNumber : std::size_t {
  kClassField,
  kAccountField,
  kTokensField,
  kShareField,
  kRetryField,
  kSessionField,
  kTierField,
  kWeightField
};

const expression::Environment& expression_fields();

// Values of expression_fields(); the session and the weight are absent.
std::vector<expression::Value> sample_values();

// A scratch that is large enough for the program.
expression::Scratch scratch_for(const expression::Program& program);

// The value of an expression of any kind on sample_values(), or the text of its errors.
std::string evaluate_to_text(const std::string& text);

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_EXPRESSION_EXPRESSION_FIXTURE_HPP_
