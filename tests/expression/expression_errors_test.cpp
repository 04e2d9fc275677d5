// Expressions that are rejected, with their error messages, and corrupted expressions.
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "expression/type_checker.hpp"
#include "expression_fixture.hpp"
#include "expression_generator.hpp"

namespace dispatcher::testing {
namespace {

using namespace expression;

// Returns the kind of the expression's result, or kError if it is not a valid expression of a scalar kind.
Kind kind_of(const std::string& text) {
  for (const Kind kind : {Kind::kBool, Kind::kInt, Kind::kDouble, Kind::kString}) {
    try {
      (void)check(text, expression_fields(), kind);
      return kind;
    } catch (const Errors& errors) {
      const bool is_this_kind =
          std::string(errors.what()).find("found " + std::string(name(kind))) != std::string::npos;
      if (is_this_kind) continue;
    }
  }
  return Kind::kError;
}

std::string repeated(const std::string& text, int count) {
  std::string all;
  for (int i = 0; i < count; ++i) all += text;
  return all;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("invalid expressions are rejected with the position of each problem", "[match]") {
  for (const auto& [text, expected] : std::vector<std::pair<std::string, std::string>>{
           {"request.clas == 'x'", "at 1: unknown field 'request.clas'; 'request.class' is known"},
           {"nobody", "at 1: unknown field 'nobody'"},
           {"1 + 1.0", "at 3: '+' is not defined for int and double"},
           {"request.tokens == 'x'", "at 16: '==' is not defined for int and string"},
           {"'a' < 1 || 2 && true",
            "at 5: '<' is not defined for string and int; at 12: '&&' is not defined for int and bool"},
           {"!1", "at 1: '!' is not defined for int"},
           {"-'a'", "at 1: '-' is not defined for string"},
           {"true < false", "at 6: '<' is not defined for bool and bool"},
           {"true ? 1 : 'a'", "at 1: '?:' is not defined for bool and int and string"},
           {"1 in ['a']", "at 3: 'in' is not defined for int and list(string)"},
           {"[1, 'a'][0]", "at 5: a list holds values of one type: int and string"},
           {"size([request.tokens])", "at 7: only constants are supported in a list in this place"},
           {"{'a': 1, 'a': 2}['a']", "at 10: duplicate key"},
           {"{1.5: 1}[1.5]", "at 2: the keys of a map are int or string"},
           {"has(request)", "at 1: has() takes one field, such as has(request.session)"},
           {"has(request.nothing)", "at 5: unknown field 'request.nothing'"},
           {"request.class.startWith('a')", "at 14: unknown function 'startWith'; 'startsWith' is known"},
           {"'a'.startsWith(1)", "at 4: 'startsWith' is not defined for (string, int)"},
           {"'a'.matches(request.class)", "at 13: the pattern of matches() must be a constant"},
           {"'a'.matches('(')", "at 13: missing ): ("},
           {"'a'.matches('\\\\bx')", "at 13: '\\b' is not supported"},
           {"request.tokens.exists(x, true)", "at 15: 'exists' is supported for list literals only"},
           {"[1].exists(x, x)", "at 15: a condition is a bool, not int"},
           {"null", "at 1: null is not supported; use has() to test whether a field is present"},
           {"1 +", "at 4: an operand expected"},
           {"(1", "at 3: ')' expected"},
           {"'a", "at 3: unterminated string"},
           {"1 2", "at 3: an operator or the end expected"},
           {"9223372036854775808", "at 1: the number does not fit into 64 bits"},
           {"'\\q'", "at 2: unknown escape sequence in the string"},
           {"1u", "at 1: an operand expected"},
           {"", "at 1: an operand expected"},
           {"'\xff'", "at 2: not UTF-8"}}) {
    INFO(text);
    CHECK(evaluate_to_text(text) == expected);
  }
  CHECK(kind_of("request.tokens + 1") == Kind::kInt);
}

TEST_CASE("expressions that are too deep, too long or expand too far are rejected", "[match]") {
  CHECK(contains(evaluate_to_text(repeated("(", 5000) + "1" + repeated(")", 5000)), "depth"));
  CHECK(contains(evaluate_to_text(repeated("!", 5000) + "true"), "depth"));
  CHECK(contains(evaluate_to_text(repeated("[", 5000)), "depth"));
  CHECK(contains(evaluate_to_text("1" + repeated("+1", 5000)), "nested"));
  CHECK(contains(evaluate_to_text("request" + repeated(".a", 5000)), "nested"));
  CHECK(evaluate_to_text("true" + repeated(" && true", 1000)) == "true");  // a chain of && is one node
  CHECK(
      contains(evaluate_to_text("'" + std::string(std::size_t{17} * 1024, 'x') + "' == ''"), "longer than"));
  const std::string ten = "[1,2,3,4,5,6,7,8,9,10]";
  std::string multiplying = "a1 > 0";
  for (int i = 1; i <= 6; ++i) {
    multiplying.insert(0, ten + ".all(a" + std::to_string(i) + ", ");
    multiplying += ")";
  }
  CHECK(contains(evaluate_to_text(multiplying), "more than 20000 operations"));
  std::string doubling = "request.account";
  for (int i = 0; i < 9; ++i) {
    const std::string operand = doubling;
    doubling.insert(0, "(");
    doubling += " + ";
    doubling += operand;
    doubling += ")";
  }
  CHECK(contains(evaluate_to_text(doubling), "bytes of text"));
  for (const char* pattern : {"(x+x+)+y.{200}", "[ab]*a[ab]{30}", "((a{100}){100}){100}"}) {
    INFO(pattern);
    CHECK(evaluate_to_text("request.class.matches('" + std::string(pattern) + "')").starts_with("at "));
  }
  CHECK(evaluate_to_text("request.class.matches('(a+)+$')") == "false");
}

TEST_CASE("truncated and corrupted expressions are compiled or rejected with valid positions", "[match]") {
  std::mt19937 random(5);
  ExpressionGenerator generator(5);
  const std::string marks = "()[]{}.,:?!&|<>=+-*/%'\"\\ 1a\xff\n";
  for (int i = 0; i < 4000; ++i) {
    std::string text = generator.make(Kind::kBool, 4);
    text.resize(random() % (text.size() + 1));
    for (unsigned changes = random() % 4; changes > 0 && !text.empty(); --changes)
      text[random() % text.size()] = marks[random() % marks.size()];
    try {
      Program::compile(text, expression_fields(), Kind::kBool);
    } catch (const Errors& errors) {
      for (const Problem& problem : errors.problems) CHECK(problem.at <= text.size());
    }
  }
}

}  // namespace
}  // namespace dispatcher::testing
