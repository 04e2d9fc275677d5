// Shared parts of the expression tests: an environment, the values of one request in it, and evaluation to
// text.
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

// Returns the environment of the tests.
const expression::Environment& expression_fields();

// Returns values of expression_fields(). The session and the weight are absent.
std::vector<expression::Value> sample_values();

// Returns a scratch that is large enough for the program.
expression::Scratch scratch_for(const expression::Program& program);

// Evaluates an expression of any scalar kind on sample_values(). Returns its value as text, or the text of
// its errors.
std::string evaluate_to_text(const std::string& text);

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_EXPRESSION_EXPRESSION_FIXTURE_HPP_
