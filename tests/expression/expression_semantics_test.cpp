// The semantics of expressions: their values, and evaluations without a value.
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "expression_fixture.hpp"

namespace dispatcher::testing {
namespace {

using namespace expression;

TEST_CASE("expressions have the values that CEL defines", "[match]") {
  for (const auto& [text, expected] : std::vector<std::pair<std::string, std::string>>{
           {"1 + 2 * 3", "7"},
           {"(1 + 2) * 3 - -4", "13"},
           {"7 / 2 * 2 + 7 % 2", "7"},
           {"-7 / 2", "-3"},
           {"0x1F", "31"},
           {"1.5 + .5", "2"},
           {"-9223372036854775808", "-9223372036854775808"},
           {"\"a\" + 'b' + r'\\d' + '''c\"'''", "\"ab\\dc\"\""},
           {"'\\x41\\u00e9\\101\\n' == 'A\xC3\xA9\x41\\n'", "true"},
           {"size('\xC3\xA9\xF0\x9F\x98\x80x')", "3"},
           {"'abc'.size() == 3 && size([1, 2]) == 2 && size({'a': 1}) == 1", "true"},
           {"request.class == 'ask' && request.tokens > 1000", "true"},
           {"request.class in ['command', 'ask']", "true"},
           {"request.tokens in [1, 1200, 3]", "true"},
           {"request.account in [request.class, 'acme']", "true"},
           {"'x' in []", "false"},
           {"{'acme': 5, 'b': 6}[request.account]", "5"},
           {"{'acme': 5}.acme", "5"},
           {"'zz' in {'acme': 5}", "false"},
           {"['a', 'b'][1]", "\"b\""},
           {"'abc' < 'abd' && 'b' >= 'abc' && 1.0 < 2.0", "true"},
           {"request.account.startsWith('ac') && request.account.endsWith('me')", "true"},
           {"request.account.contains('cm') && !request.account.contains(request.class)", "true"},
           {"request.account.matches('^a.*e$') && matches(request.account, 'c')", "true"},
           {"[1, 2, 3].exists(x, x * 600 == request.tokens)", "true"},
           {"[1, 2, 3].all(x, x < 3 || request.retry)", "true"},
           {"['a', request.account].exists(x, ['acme'].exists(y, x == y))", "true"},
           {"[1].exists(request, request == 1)", "true"},
           {"request.retry ? 'again' : 'first'", "\"again\""},
           {"int('12') + int(3.9) + int(-3.9)", "12"},
           {"double('1.5') * double(2)", "3"},
           {"string(12) + string(1.5) + string('x')", "\"121.5x\""},
           {"has(request.session) || has(header.tier)", "true"},
           {"has(request.class)", "true"},
           {"true // the end", "true"}}) {
    INFO(text);
    CHECK(evaluate_to_text(text) == expected);
  }
}

TEST_CASE("evaluations without a value end in an error, which logical operators absorb as in CEL",
          "[match]") {
  const std::string absent = "none: a field that the request lacks";
  const std::string overflow = "none: overflow";
  for (const auto& [text, expected] : std::vector<std::pair<std::string, std::string>>{
           {"request.session == 'x'", absent},
           {"request.session == 'x' && request.retry", absent},
           {"request.session == 'x' && false", "false"},
           {"false && request.session == 'x'", "false"},
           {"request.session == 'x' || true", "true"},
           {"request.session == 'x' || false", absent},
           {"1 / 0 == 1 || request.session == 'x'", "none: division by zero"},
           {"request.session == 'x' && 1 / 0 == 1 && false", "false"},
           {"!(request.session == 'x')", absent},
           {"request.session == 'x' ? 1 : 2", absent},
           {"request.retry ? 1 : header.weight", "1"},
           {"has(request.session) && request.session.startsWith('a')", "false"},
           {"1 % 0", "none: division by zero"},
           {"1.0 / 0.0 > 1.0e300", "true"},
           {"9223372036854775807 + 1", overflow},
           {"-9223372036854775808 - 1", overflow},
           {"-9223372036854775808 / -1", overflow},
           {"-9223372036854775808 % -1", overflow},
           {"-(-9223372036854775808)", overflow},
           {"4611686018427387904 * 2", overflow},
           {"int(1.0e19)", overflow},
           {"int('12x')", "none: a text that is no number"},
           {"int('')", "none: a text that is no number"},
           {"double('" + std::string(65, '1') + "')", "none: a text that is no number"},
           {"{'a': 1}['b']", "none: a key that the map lacks"},
           {"[1][1]", "none: an index past the list's end"},
           {"[1][-1]", "none: an index past the list's end"},
           {"[true, false].exists(x, x ? request.session == 'x' : true)", "true"},
           {"[1, 2].all(x, x / (x - 1) > 0 && false)", "false"}}) {
    INFO(text);
    CHECK(evaluate_to_text(text) == expected);
  }
}

TEST_CASE("a string longer than its field's maximum length counts as absent", "[match]") {
  const Program program = Program::compile("request.session + 'x'", expression_fields(), Kind::kString);
  Scratch scratch = scratch_for(program);
  auto values = sample_values();
  const std::string long_text(33, 'y');
  values[kSessionField] = Value::of(std::string_view(long_text));
  CHECK(program.run(values, scratch).failed());
  values[kSessionField] = Value::of(std::string_view(long_text).substr(1));
  CHECK(program.run(values, scratch).size == 33);
}

}  // namespace
}  // namespace dispatcher::testing
