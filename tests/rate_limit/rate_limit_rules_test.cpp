// Tests which rules files are accepted, what a decision computes, and what operators are shown.
#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "daemon/rules_command.hpp"
#include "rate_limit/explain.hpp"
#include "rate_limit_fixture.hpp"
#include "tests/fixtures/allocations.hpp"

namespace dispatcher::testing {
namespace {

using namespace rate_limit;

TEST_CASE("an invalid rules file is rejected with all of its problems and their positions", "[limits]") {
  CHECK(rule_problems("") == Strings{"r: rules: missing: a file without rules must contain rules: []"});
  CHECK(rule_problems("keys: 100\n") ==
        Strings{"r: rules: missing: a file without rules must contain rules: []"});
  CHECK(rule_problems("rules: []") == Strings{});
  CHECK(
      rule_problems("rules: [{name: \"a\", when: \"request.clas == 'x'\"},\n {name: \"a\", class: \"'zz'\", "
                    "account: \"'nobody'\"},\n"
                    " {name: \"b\", limits: [{key: \"1\"}, {rate: 1, burst: 0}]}]") ==
      Strings{"r:3:52: rules[2].limits[1].burst: expected 1 | >=1 & <=1000000, found 0"});
  const std::string unknown_field =
      "r:1:27: rules[0].when: in the expression, at 1: unknown field 'request.clas'; 'request.class' is "
      "known";
  CHECK(
      rule_problems("rules: [{name: \"a\", when: \"request.clas == 'x'\"},\n {name: \"a\", class: \"'zz'\", "
                    "account: \"'nobody'\"},\n"
                    " {name: \"b\", limits: [{key: \"1\"}, {rate: 1}]}]") ==
      Strings{unknown_field, "r:2:9: rules[1].name: the name is used twice",
              "r:2:21: rules[1].class: no class 'zz' in the settings",
              "r:2:38: rules[1].account: no account 'nobody' in the settings",
              "r:3:23: rules[2].limits[0]: a limit needs a rate, in_progress or both",
              "r:3:29: rules[2].limits[0].key: in the expression, at 1: expected string, found int"});
  CHECK(
      rule_problems(
          "rules: []\nheaders: {\"a-b\": {name: \"X\"}, c: {name: \"X Y\"}, d: {name: \"X\", longest: 9000}}")
          .size() == 2);
  CHECK(rule_problems("rules: [{name: \"a\", when: \"header.tier == 'x'\"}]")
            .front()
            .find("unknown field 'header.tier'") != std::string::npos);
}

TEST_CASE("a rules file truncated at any point is never read as a shorter valid one", "[limits]") {
  const std::string complete =
      "headers: tier: {name: \"X-Tier\"}\nkeys: 1000\nrules: [\n\t{name: \"a\", when: "
      "\"request.retry\"},\n\t{name: \"b\"},\n]\n";
  for (std::size_t size = 0; size < complete.size(); ++size) {
    const std::string cut = complete.substr(0, size);
    if (cut.ends_with("]")) continue;  // only the last newline is missing, so the file is valid
    INFO(cut);
    CHECK_FALSE(rule_problems(cut).empty());
  }
}

TEST_CASE("only the first rule that matches sets fields", "[limits]") {
  RateLimiterFixture fixture(
      "rules: [{name: \"a\", when: \"request.retry == false\", session: \"'one'\"}, {name: \"b\", session: "
      "\"'two'\", class: \"'command'\"}]");
  auto request = make_request();
  CHECK(fixture.admit(request).rule->name == "a");
  CHECK(request.request_class == "ask");
}

TEST_CASE("rules that could take too long are rejected with the name of the costliest rule", "[limits]") {
  const Strings problems = rule_problems(
      "headers: cookie: {name: \"Cookie\", longest: 8192}\n"
      "rules: [{name: \"cheap\", when: \"request.retry\"},\n {name: \"slow\", when: "
      "\"header.cookie.matches('x.*y')\"}]");
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].starts_with("r:3:2: rules[1]: a request could take "));
  CHECK(problems[0].find("more than the budget of 5000; the costliest rule is 'slow' with") !=
        std::string::npos);
  std::string many = "rules: [\n";
  for (int i = 0; i < 2000; ++i)
    many += "{name: \"r" + std::to_string(i) + "\", when: \"request.prompt_tokens > " + std::to_string(i) +
            "\"},\n";
  CHECK(rule_problems(many + "]").front().find("budget") != std::string::npos);
  CHECK(rule_problems("budget_ns: 1_000_000\n" + many + "]") == Strings{});
  // Ten thousand rules that each test for one account cost no more than a few rules.
  std::string accounts = "rules: [\n";
  for (int i = 0; i < 10'000; ++i)
    accounts += "{name: \"r" + std::to_string(i) + "\", when: \"request.account == 'a" + std::to_string(i) +
                "' && request.class == 'ask'\"},\n";
  CHECK(rule_problems(accounts + "]") == Strings{});
}

TEST_CASE("a decision allocates nothing", "[limits]") {
  RateLimiterFixture fixture(
      "headers: tier: {name: \"X-Tier\"}\nrules: [{name: \"a\", when: \"request.account == 'acme' && "
      "header.tier.matches('^g')\", class: "
      "\"request.class\", session: \"header.tier + request.account\", limits: [{key: \"request.account + '/' "
      "+ header.tier\", rate: 100, in_progress: 9}]}]");
  expression::Scratch scratch;
  fixture.rate_limiter.rules()->reserve(scratch);
  RequestAttributes attributes;
  attributes.request_class = "ask";
  attributes.account = "acme";
  attributes.headers = {"gold"};
  const std::size_t before = allocations;
  const Decision decision = fixture.rate_limiter.rules()->decide(attributes, scratch);
  CHECK(allocations == before);
  CHECK(decision.rule == 0);
  CHECK(decision.limit_count == 1);
}

TEST_CASE("warnings name rules that can never match and the rules that shadow them", "[limits]") {
  const auto set = make_rules(
      "rules: [{name: \"a\", when: \"request.account in ['acme', 'other']\"},\n"
      "{name: \"b\", when: \"request.account == 'acme' && request.retry\"},\n"
      "{name: \"c\", when: \"request.class == 'nothing'\"},\n"
      "{name: \"d\", when: \"request.class == 'ask' && request.class == 'command'\"},\n"
      "{name: \"e\", when: \"request.retry && request.prompt_tokens > 5\"},\n"
      "{name: \"f\", when: \"request.prompt_tokens > 5 && request.class == 'ask' && request.retry\"},\n"
      "{name: \"g\", when: \"request.class == 'ask'\"}, {name: \"h\", when: \"false\"}, {name: \"i\"}, "
      "{name: \"j\", when: \"request.retry\"}]");
  Strings messages;
  for (const auto& warning : warnings(*set)) messages.push_back(warning.what);
  CHECK(messages == Strings{"rule 'b' can never match: earlier rule 'a' matches all of its requests",
                            "rule 'c' can never match", "rule 'd' can never match",
                            "rule 'f' can never match: earlier rule 'e' matches all of its requests",
                            "rule 'h' can never match",
                            "rule 'j' can never match: earlier rule 'i' matches all of its requests"});
}

TEST_CASE("explain reports the matched rule, why others did not match, and what was computed", "[limits]") {
  const cue::File file{"r.cue",
                       "headers: tier: {name: \"X-Tier\"}\nrules: [{name: \"gold\", when: \"request.class "
                       "== 'ask' && header.tier == 'gold'\"},\n"
                       "{name: \"big\", when: \"request.prompt_tokens > 1000 * 2\"},\n"
                       "{name: \"all\", class: \"'command'\", session: \"header.tier\", limits: [{key: "
                       "\"request.account\", rate: 2.5, burst: 5, in_progress: 3}]}]"};
  std::ostringstream out, errors;
  CHECK(daemon::rules_explain(file, {"request", "{class: \"ask\", account: \"acme\", prompt_tokens: 12}"},
                              known_names, out, errors) == 0);
  CHECK(
      out.str() ==
      "no    gold: (header.tier == \"gold\") has no value: a field that the request lacks\n"
      "no    big: (request.prompt_tokens > (1000 * 2)) is false\n"
      "yes   all: true\n"
      "      class = \"command\"\n"
      "      session = none: a field that the request lacks: not used, the request keeps its own value\n"
      "      limit all/0: key \"acme\", 2.5 a second in bursts of 5, 3 in progress, over the whole fleet\n");
  CHECK(daemon::rules_explain(file, {"request", "{clas: \"ask\"}"}, known_names, out, errors) == 1);
  CHECK(errors.str() == "request:1:2: clas: unknown field; 'class' is known\n");
}

// Loads each example of the operators' page and checks each documented result.
TEST_CASE("the examples of docs/rules.md behave as documented", "[limits][deploy]") {
  std::ifstream page(std::string(DISPATCHER_SOURCE) + "/docs/rules.md");
  std::string line, text, block;
  int examples = 0, requests = 0;
  std::shared_ptr<const RuleSet> set;
  while (std::getline(page, line)) {
    if (line.starts_with("```")) {
      const std::string opened = std::exchange(block, block.empty() ? line.substr(3) : std::string());
      if (!block.empty()) text.clear();
      if (opened != "cue") continue;
      INFO(text);
      set = make_rules(text);
      CHECK(warnings(*set).empty());
      ++examples;
    } else if (!block.empty()) {
      text += line + "\n";
    } else if (line.starts_with("- `{")) {  // a request and the rule that it matches
      const std::size_t end = line.find("}`: ");
      const auto sample = read_sample({"request", line.substr(3, end - 2)}, *set);
      expression::Scratch scratch;
      set->reserve(scratch);
      const Decision decision = set->decide(sample->attributes, scratch);
      INFO(line);
      CHECK(line.substr(end + 4) == (decision.rule ? set->rules()[*decision.rule].name : "none"));
      ++requests;
    }
  }
  CHECK(examples == 10);
  CHECK(requests >= 20);
  std::ifstream shipped(std::string(DISPATCHER_SOURCE) + "/deploy/rules.cue");
  std::ostringstream all;
  all << shipped.rdbuf();
  CHECK(rule_problems(all.str()) == Strings{});
}

}  // namespace
}  // namespace dispatcher::testing
