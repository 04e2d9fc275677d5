// Tests that all findings about a configuration are reported, each with its file, line number and field, and
// that a reload with errors applies nothing.
#include <random>

#include "daemon/dispatcher.hpp"
#include "settings/json_line_index.hpp"
#include "settings/report.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using dispatcher::settings::JsonLineIndex;
using Json = nlohmann::json;

TEST_CASE("a field has the line number of its key, and an array element has its own line number",
          "[config]") {
  const JsonLineIndex index(
      "{\n"
      " \"a\": 1,\n"
      " \"b\":\n"
      "   {\"c\"\n"
      "     : [10\n"
      "     ,\r\n"
      "     [\n"
      "     ], {\"d\": 2},\n"
      "     null, \"x\\ny\", -1.5e3\n"
      "     ]}, \"e\": 5\n"
      ", \"a\": 3}\n");
  const std::pair<const char*, int> expected[] = {
      {"a", 11},     {"b", 3},        {"b.c", 4},     {"b.c[0]", 5},   {"b.c[1]", 7},
      {"b.c[2]", 8}, {"b.c[2].d", 8}, {"b.c[3]", 9},  {"b.c[5]", 9},   {"e", 10},
      {"b.c[9]", 4}, {"b.f.g[3]", 3}, {"nothing", 1}, {"b.c[2].f", 8}, {"", 1}};
  for (const auto& [path, line_number] : expected) {
    INFO(path);
    CHECK(index.line_number(path) == line_number);
  }
}

// Returns a random value, whose objects and arrays are nested at most `depth` levels deep.
Json random_json(std::mt19937& random, int depth) {
  const auto kind = random() % (depth > 0 ? 7 : 5);
  if (kind == 0) return random() % 1000;
  if (kind == 1) return -0.5 * static_cast<double>(random() % 1000);
  if (kind == 2) return random() % 2 == 0;
  if (kind == 3) return nullptr;
  if (kind == 4) return "t\n\"{[" + std::to_string(random() % 100);
  Json container = kind == 5 ? Json::object() : Json::array();
  for (auto i = random() % 5; i > 0; --i) {
    Json value = random_json(random, depth - 1);
    if (kind == 5) {
      container["k" + std::to_string(random() % 20)] = std::move(value);
    } else {
      container.push_back(std::move(value));
    }
  }
  return container;
}

// Checks that the index finds each path within `value` on the line of the text that has its key or its value.
void check_lines(const Json& value, const std::string& path, const std::vector<std::string>& lines,
                 const JsonLineIndex& index) {
  const auto line_of = [&](const std::string& inner_path) -> const std::string& {
    return lines.at(static_cast<std::size_t>(index.line_number(inner_path) - 1));
  };
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) {
      std::string inner_path = path;
      if (!path.empty()) inner_path += ".";
      inner_path += key;
      CHECK(line_of(inner_path).find(Json(key).dump() + ":") != std::string::npos);
      check_lines(inner, inner_path, lines, index);
    }
  } else if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) {
      const std::string inner_path = path + "[" + std::to_string(i) + "]";
      if (value[i].is_primitive()) CHECK(line_of(inner_path).find(value[i].dump()) != std::string::npos);
      check_lines(value[i], inner_path, lines, index);
    }
  }
}

TEST_CASE("line numbers are right in random texts, and in range in any truncated text", "[config]") {
  std::mt19937 random(23);
  for (int i = 0; i < 200; ++i) {
    const Json value{{"top", random_json(random, 4)}, {"more", random_json(random, 3)}};
    const std::string text = value.dump(static_cast<int>(random() % 3));
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) lines.push_back(line);
    check_lines(value, "", lines, JsonLineIndex(text));
    const JsonLineIndex of_part(text.substr(0, random() % text.size()));
    CHECK(of_part.line_number("top.k1[2].k3") >= 1);
    CHECK(of_part.line_number("top.k1[2].k3") <= static_cast<int>(lines.size()));
  }
}

TEST_CASE("a field that is nested too deep has the line number of an object or array that contains it",
          "[config]") {
  const std::string deep = std::string(100'000, '[') + "\n1\n" + std::string(100'000, ']');
  CHECK(JsonLineIndex("{\"a\":\n" + deep + ",\n\"b\":1}").line_number("b") == 5);
  std::string path = "a";
  for (int i = 0; i < 40; ++i) path += "[0]";
  CHECK(JsonLineIndex("{\"a\":\n" + deep + "}").line_number(path) == 2);
}

constexpr const char* kValidConfig =
    R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7",
 "settings":{
  "myNumber":0,
  "balancers":2,
  "granularityMs":4.0,"hostTypes":["reader","writer"],"registryMode":"push",
  "categories":[
   {"name":"ask","repeat":"safe","objectiveMs":1200.0,"deadlineMs":6000.0,"worth":1.0},
   {"name":"command","repeat":"unsafe","objectiveMs":800.0,"deadlineMs":3000.0,"worth":5.0}],
  "familyInfo":{"dutyByKind":["read","write"],"pinLimitMs":300.0},
  "limits":{
   "mostTries":4,
   "connectTimeoutMs":250.0,"idleCloseMs":15000.0},
  "guarantees":{"answerSlackMs":16.0,"drainGraceMs":250.0,"coldShare":0.3,"coldMs":14000.0,
   "tipMultiple":4.0,"tipAfterMs":2000.0}}})";

using Replacement = std::pair<std::string, std::string>;

// Returns kValidConfig after the replacements in order, each of which replaces the first occurrence of its
// first text by its second text.
std::string changed(const std::vector<Replacement>& replacements) {
  std::string text = kValidConfig;
  for (const auto& [before, after] : replacements) text.replace(text.find(before), before.size(), after);
  return text;
}
daemon::Config parse(const std::string& text) {
  return daemon::parse_config(text, {{"PROXY_CONFIG", "c.json"}});
}
using Messages = std::vector<std::string>;

// Returns the error messages, one for each finding, or nothing if the configuration is accepted.
Messages error_messages(const std::string& text) {
  try {
    parse(text);
  } catch (const daemon::ConfigError& error) {
    return error.lines();
  }
  return {};
}

TEST_CASE("a valid configuration has neither errors nor warnings", "[config]") {
  CHECK(parse(kValidConfig).warnings.empty());
}

TEST_CASE("all findings about a configuration are reported in the order of its lines", "[config]") {
  const std::string bad = changed({{"127.0.0.1:1", "nowhere"},
                                   {"\"mostTries\":4", "\"mostTries\":1"},
                                   {"\"myNumber\":0", "\"myNumber\":2"},
                                   {"\"command\"", "\"ask\""},
                                   {"6000.0", "600"},
                                   {"250.0,\"idle", "0,\"idle"}});
  CHECK(
      error_messages(bad) ==
      Messages{"c.json:1: field 'discovery': 'nowhere'; wanted: address and port",
               "c.json:3: field 'settings.myNumber': 2 among 2 dispatchers; wanted: 0 to 1",
               std::string("c.json:7: warning: field 'settings.categories[0].deadlineMs': 600 ms, ") +
                   "before the objective of 1200 ms; wanted: at least the objective",
               "c.json:8: field 'settings.categories[1].name': 'ask' is not unique; wanted: another name",
               std::string("c.json:11: field 'settings.limits.mostTries': 1, but a request is read by one ") +
                   "attempt and written by another; wanted: at least 2, or a kind that does both",
               std::string("c.json:12: field 'settings.limits.connectTimeoutMs': 0 ms: ") +
                   "no connection can be made; wanted: above 0"});
}

TEST_CASE("missing fields, wrong types and unknown words are reported together", "[config]") {
  const std::string bad = changed({{"\"balancers\":2,", ""},
                                   {"\"write\"", "\"wrote\""},
                                   {"\"mostTries\":4", "\"mostTries\":\"4\""},
                                   {"\"guarantees\"", "\"guarantee\""},
                                   {"\"repeat\":\"unsafe\"", "\"repeat\":false"}});
  CHECK(error_messages(bad) ==
        Messages{"c.json:2: field 'settings.balancers': missing; wanted: number",
                 "c.json:2: field 'settings.guarantees': missing; wanted: object",
                 "c.json:8: field 'settings.categories[1].repeat': false; wanted: text",
                 std::string("c.json:9: field 'settings.familyInfo.dutyByKind[1]': unknown word 'wrote'; ") +
                     "wanted: 'read', 'write', 'both'",
                 "c.json:11: field 'settings.limits.mostTries': \"4\"; wanted: number"});
  CHECK(
      error_messages(changed({{"[\"read\",\"write\"]", "[\"read\"]"}})) ==
      Messages{"c.json:9: field 'settings.familyInfo.dutyByKind': 1 duties for 2 hostTypes; wanted: one for "
               "each"});
  CHECK(error_messages("{\n\"a\":1,\n\n}") == Messages{"c.json:4: the configuration is not JSON"});
}

TEST_CASE("implausible settings are accepted with a warning", "[config]") {
  const std::string odd =
      changed({{"\"push\"", "\"push\",\"weights\":\"new\",\"tenants\":[{\"name\":\"a\"}]"}});
  CHECK(
      parse(odd).warnings ==
      Messages{
          "c.json:5: warning: field 'settings.weights': unknown word 'new'; wanted: 'silent', 'nominal', "
          "'rough', 'live'",
          "c.json:5: warning: field 'settings.tenants': the quotas add up to nothing: every request is over "
          "its tenant's share; wanted: a quotaRps above 0"});
}

TEST_CASE("a reload of contradictory settings applies nothing and logs each finding", "[config][app]") {
  daemon::Loop loop;
  std::string next = kValidConfig;
  Messages log_lines;
  daemon::Dispatcher dispatcher(
      loop, parse(kValidConfig), {{"chat.json", kChatConfig}, {}},
      [&](std::string_view line) { log_lines.emplace_back(line); },
      [&] {
        return daemon::ConfigurationFiles{parse(next), {{"chat.json", kChatConfig}, {}}};
      });
  // The file has a contradiction and a new class, which the log line of a successful reload would name.
  const Replacement new_class{
      "[\n",
      "[{\"name\":\"new\",\"repeat\":\"safe\",\"objectiveMs\":900,\"deadlineMs\":2000,\"worth\":1},\n"};
  next = changed({new_class, {"\"mostTries\":4", "\"mostTries\":1"}, {"\"myNumber\":0", "\"myNumber\":2"}});
  const Messages expected = error_messages(next);
  REQUIRE(expected.size() == 2);
  dispatcher.reload();
  CHECK(Messages(log_lines.end() - 3, log_lines.end() - 1) == expected);
  CHECK(log_lines.back() == "reload failed, the old configuration stays: see the lines above");
  next = kValidConfig;
  dispatcher.reload();
  CHECK(log_lines.back() == "reloaded: discovery at 127.0.0.1:1, classes ask command");
  next = changed({new_class, {"\"push\"", "\"push\",\"worthBy\":\"new\""}});
  log_lines.clear();
  dispatcher.reload();
  CHECK(log_lines ==
        Messages{parse(next).warnings.at(0), "reloaded: discovery at 127.0.0.1:1, classes new ask command"});
}

}  // namespace
}  // namespace dispatcher::testing
