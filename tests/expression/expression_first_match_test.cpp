// The search for the first condition that is true.
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "expression/first_match.hpp"
#include "expression_fixture.hpp"
#include "tests/fixtures/allocations.hpp"

namespace dispatcher::testing {
namespace {

using namespace expression;

std::string random_condition(std::mt19937& random) {
  const auto number = std::to_string(random() % 6);
  const std::vector<std::string> tests = {"request.class == 'c" + number + "'",
                                          "'a" + number + "' == request.account",
                                          "request.account in ['a1', 'a1', 'a" + number + "']",
                                          "request.tokens == " + number,
                                          "request.tokens > " + number,
                                          "header.tier == 't" + number + "'",
                                          "request.retry"};
  std::string text = tests[random() % tests.size()];
  if (random() % 2 == 0) text += " && " + tests[random() % tests.size()];
  if (random() % 3 == 0) text = "(" + text + ") && (true || false)";
  return text;
}

std::vector<Program> random_conditions(std::mt19937& random) {
  std::vector<Program> conditions;
  for (unsigned count = 1 + random() % 40; count > 0; --count)
    conditions.push_back(Program::compile(random_condition(random), expression_fields(), Kind::kBool));
  return conditions;
}

int find_by_trying_all(const FirstMatch& conditions, const std::vector<Value>& values, Scratch& scratch) {
  for (std::size_t i = 0; i < conditions.size(); ++i) {
    if (conditions.condition(i).run(values, scratch).is(true)) return static_cast<int>(i);
  }
  return -1;
}

TEST_CASE("the first matching condition is the one that sequential evaluation finds", "[match]") {
  std::mt19937 random(3);
  for (int round = 0; round < 60; ++round) {
    const FirstMatch conditions(random_conditions(random), expression_fields());
    Scratch scratch;
    conditions.reserve(scratch);
    for (int i = 0; i < 50; ++i) {
      const std::string request_class = "c" + std::to_string(random() % 6);
      const std::string account = "a" + std::to_string(random() % 6);
      const std::string tier = "t" + std::to_string(random() % 6);
      const Value absent = Value::of(EvaluationError::kAbsent);
      std::vector<Value> values = sample_values();
      values[kClassField] = Value::of(std::string_view(request_class));
      values[kAccountField] = random() % 8 == 0 ? absent : Value::of(std::string_view(account));
      values[kTokensField] = Value::of(static_cast<std::int64_t>(random() % 6));
      values[kRetryField] = Value::of(random() % 8 == 0);
      values[kTierField] = random() % 2 == 0 ? absent : Value::of(std::string_view(tier));
      const int expected = find_by_trying_all(conditions, values, scratch);
      const std::size_t allocations_before = allocations;
      const int found = conditions.find(values, scratch);
      CHECK(allocations == allocations_before);
      CHECK(found == expected);
    }
  }
}

TEST_CASE("the worst-case cost of conditions on values of one field does not grow with their number",
          "[match]") {
  const auto worst_ns = [](int rules) {
    std::vector<Program> conditions;
    conditions.reserve(static_cast<std::size_t>(rules));
    for (int i = 0; i < rules; ++i)
      conditions.push_back(
          Program::compile("request.class == 'ask' && request.account == 'a" + std::to_string(i) + "'",
                           expression_fields(), Kind::kBool));
    return FirstMatch(std::move(conditions), expression_fields()).worst_ns();
  };
  CHECK(worst_ns(2000) < 2 * worst_ns(20));
}

}  // namespace
}  // namespace dispatcher::testing
