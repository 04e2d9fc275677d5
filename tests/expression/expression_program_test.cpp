// Compiled programs: comparison with a second implementation, evaluation without allocations, and computed
// costs.
#include <catch2/catch.hpp>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "expression/program.hpp"
#include "expression_fixture.hpp"
#include "expression_generator.hpp"
#include "reference_evaluator.hpp"
#include "tests/fixtures/allocations.hpp"

namespace dispatcher::testing {
namespace {

using namespace expression;

constexpr int kSets = 3;

// Returns values of expression_fields(), which differ between sets.
std::vector<Value> values_of_set(int set) {
  std::vector<Value> values = sample_values();
  if (set == 1) {
    values[kSessionField] = Value::of("s");
    values[kTierField] = Value::of(EvaluationError::kAbsent);
    values[kTokensField] = Value::of(INT64_MIN);
  } else if (set == 2) {
    values[kWeightField] = Value::of(std::int64_t{2});
    values[kRetryField] = Value::of(false);
    values[kAccountField] = Value::of("");
  }
  return values;
}

bool agree(const Value& left, const Value& right) {
  if (left.failed() && right.failed()) return left.error == right.error;
  if (left.kind == Kind::kDouble && right.kind == Kind::kDouble && std::isnan(left.real))
    return std::isnan(right.real);
  return same(left, right);
}

// Returns nullopt if the expression is rejected as too large. Fails the test if it is rejected for any other
// reason.
std::optional<Program> compile_unless_too_large(const std::string& text, Kind kind) {
  try {
    return Program::compile(text, expression_fields(), kind);
  } catch (const Errors& errors) {
    const std::string message = errors.what();
    const bool is_too_large =
        message.find("bytes") != std::string::npos || message.find("depth") != std::string::npos;
    if (!is_too_large) FAIL(message);
  }
  return std::nullopt;
}

TEST_CASE("a program computes what the reference evaluator computes, and allocates nothing", "[match]") {
  ExpressionGenerator generator(20261201);
  std::size_t errors = 0;
  std::size_t compiled = 0;
  for (int i = 0; i < 6000; ++i) {
    const Kind kind = generator.pick_kind();
    const std::string text = generator.make(kind, 5);
    INFO(text);
    const auto program = compile_unless_too_large(text, kind);
    if (!program) continue;
    ++compiled;
    const std::string again = to_text(program->tree());
    CHECK(to_text(Program::compile(again, expression_fields(), kind).tree()) == again);
    Scratch scratch = scratch_for(*program);
    for (int set = 0; set < kSets; ++set) {
      const std::vector<Value> values = values_of_set(set);
      const std::size_t allocations_before = allocations;
      const Value value = program->run(values, scratch);
      CHECK(allocations == allocations_before);
      ReferenceEvaluator reference(values);
      CHECK(agree(value, reference.evaluate(program->tree())));
      errors += value.failed() ? 1 : 0;
      if (value.kind == Kind::kString) CHECK(value.size <= program->max_length());
    }
  }
  CHECK(compiled > 5000);
  CHECK(errors > 1000);
}

TEST_CASE("the worst-case cost grows with the maximum length of a field and with the costlier branch",
          "[match]") {
  const auto worst_ns = [](const std::string& text) {
    return Program::compile(text, expression_fields(), Kind::kBool).worst_ns();
  };
  CHECK(worst_ns("request.class.matches('x')") > worst_ns("header.tier.matches('x')"));
  const double one = worst_ns("request.class.matches('x')");
  for (const char* both : {"request.retry ? request.class.matches('x') : true",
                           "request.retry ? true : request.class.matches('x')",
                           "request.retry ? request.class.matches('x') : request.class.matches('y')"})
    CHECK(worst_ns(both) - one < 50);
  CHECK(worst_ns("request.retry && request.retry") > worst_ns("request.retry"));
}

}  // namespace
}  // namespace dispatcher::testing
