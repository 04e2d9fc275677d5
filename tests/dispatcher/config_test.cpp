// What is wrong with the configuration is told whole, each with file, line and field; a reload takes none of
// it.
#include <random>

#include "daemon/dispatcher.hpp"
#include "fixture.hpp"
#include "settings/json_line_index.hpp"
#include "settings/report.hpp"

namespace dispatcher::testing {
namespace {

using dispatcher::settings::JsonLineIndex;
using Json = nlohmann::json;

TEST_CASE("a field is found by the line of its key, an array's value by its own", "[config]") {
  const JsonLineIndex at(
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
  const std::pair<const char*, int> lines[] = {
      {"a", 11},     {"b", 3},        {"b.c", 4},     {"b.c[0]", 5},   {"b.c[1]", 7},
      {"b.c[2]", 8}, {"b.c[2].d", 8}, {"b.c[3]", 9},  {"b.c[5]", 9},   {"e", 10},
      {"b.c[9]", 4}, {"b.f.g[3]", 3}, {"nothing", 1}, {"b.c[2].f", 8}, {"", 1}};
  for (const auto& [path, line] : lines) {
    INFO(path);
    CHECK(at.line_number(path) == line);
  }
}

// Objects and arrays at random; each path is then looked up in the text.
Json random_json(std::mt19937& random, int depth) {
  const auto kind = random() % (depth > 0 ? 7 : 5);
  if (kind == 0) return random() % 1000;
  if (kind == 1) return -0.5 * static_cast<double>(random() % 1000);
  if (kind == 2) return random() % 2 == 0;
  if (kind == 3) return nullptr;
  if (kind == 4) return "t\n\"{[" + std::to_string(random() % 100);
  Json all = kind == 5 ? Json::object() : Json::array();
  for (auto i = random() % 5; i > 0; --i) {
    Json value = random_json(random, depth - 1);
    if (kind == 5)
      all["k" + std::to_string(random() % 20)] = std::move(value);
    else
      all.push_back(std::move(value));
  }
  return all;
}

void check_lines(const Json& value, const std::string& path, const std::vector<std::string>& lines,
                 const JsonLineIndex& at) {
  const auto found = [&](const std::string& where) -> const std::string& {
    return lines.at(static_cast<std::size_t>(at.line_number(where) - 1));
  };
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) {
      const std::string name = path.empty() ? key : path + "." + key;
      CHECK(found(name).find("\"" + key + "\":") != std::string::npos);
      check_lines(inner, name, lines, at);
    }
  } else if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) {
      const std::string name = path + "[" + std::to_string(i) + "]";
      if (value[i].is_primitive()) CHECK(found(name).find(value[i].dump()) != std::string::npos);
      check_lines(value[i], name, lines, at);
    }
  }
}

TEST_CASE("lines are right in random texts, and in any cut of them nothing breaks", "[config]") {
  std::mt19937 random(23);
  for (int i = 0; i < 200; ++i) {
    const Json value{{"top", random_json(random, 4)}, {"more", random_json(random, 3)}};
    const std::string text = value.dump(static_cast<int>(random() % 3));
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) lines.push_back(line);
    check_lines(value, "", lines, JsonLineIndex(text));
    const JsonLineIndex cut(text.substr(0, random() % text.size()));
    CHECK(cut.line_number("top.k1[2].k3") >= 1);
    CHECK(cut.line_number("top.k1[2].k3") <= static_cast<int>(lines.size()));
  }
}

TEST_CASE("what is nested deeper than settings are has the line of what is round it", "[config]") {
  const std::string deep = std::string(100'000, '[') + "\n1\n" + std::string(100'000, ']');
  CHECK(JsonLineIndex("{\"a\":\n" + deep + ",\n\"b\":1}").line_number("b") == 5);
  std::string path = "a";
  for (int i = 0; i < 40; ++i) path += "[0]";
  CHECK(JsonLineIndex("{\"a\":\n" + deep + "}").line_number(path) == 2);
}

const char* const kGood = R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7",
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

std::string with(std::string text, const std::string& what, const std::string& instead) {
  return text.replace(text.find(what), what.size(), instead);
}
daemon::Config parse(const std::string& text) {
  return daemon::parse_config(text, {{"PROXY_CONFIG", "c.json"}});
}
std::vector<std::string> wrong(const std::string& text) {
  try {
    parse(text);
  } catch (const daemon::ConfigError& e) {
    return e.lines();
  }
  return {};
}
using Lines = std::vector<std::string>;

TEST_CASE("a sound configuration has neither faults nor warnings", "[config]") {
  CHECK(parse(kGood).warnings.empty());
}

TEST_CASE("all that is wrong of a configuration is told, by line", "[config]") {
  std::string bad = with(kGood, "127.0.0.1:1", "nowhere");
  bad = with(bad, "\"mostTries\":4", "\"mostTries\":1");
  bad = with(bad, "\"myNumber\":0", "\"myNumber\":2");
  bad = with(bad, "\"command\"", "\"ask\"");
  bad = with(bad, "6000.0", "600");
  bad = with(bad, "250.0,\"idle", "0,\"idle");
  CHECK(wrong(bad) ==
        Lines{"c.json:1: field 'discovery': 'nowhere'; wanted: address and port",
              "c.json:3: field 'settings.myNumber': 2 among 2 dispatchers; wanted: 0 to 1",
              "c.json:7: warning: field 'settings.categories[0].deadlineMs': 600 ms, before the objective of "
              "1200 ms; wanted: at least the objective",
              "c.json:8: field 'settings.categories[1].name': 'ask' a second time; wanted: another name",
              "c.json:11: field 'settings.limits.mostTries': 1, but a request is read by one attempt and "
              "written by another; wanted: at least 2, or a kind that does both",
              "c.json:12: field 'settings.limits.connectTimeoutMs': 0 ms: no connection can be made; wanted: "
              "above 0"});
}

TEST_CASE("fields that are missing, of the wrong type or unknown words are told together", "[config]") {
  std::string bad = with(kGood, "\"balancers\":2,", "");
  bad = with(bad, "\"write\"", "\"wrote\"");
  bad = with(bad, "\"mostTries\":4", "\"mostTries\":\"4\"");
  bad = with(bad, "\"guarantees\"", "\"guarantee\"");
  bad = with(bad, "\"repeat\":\"unsafe\"", "\"repeat\":false");
  CHECK(wrong(bad) ==
        Lines{"c.json:2: field 'settings.balancers': missing; wanted: number",
              "c.json:2: field 'settings.guarantees': missing; wanted: object",
              "c.json:8: field 'settings.categories[1].repeat': false; wanted: text",
              "c.json:9: field 'settings.familyInfo.dutyByKind[1]': unknown word 'wrote'; wanted: 'read', "
              "'write', 'both'",
              "c.json:11: field 'settings.limits.mostTries': \"4\"; wanted: number"});
  CHECK(wrong(with(kGood, "[\"read\",\"write\"]", "[\"read\"]")) ==
        Lines{"c.json:9: field 'settings.familyInfo.dutyByKind': 1 duties for 2 hostTypes; wanted: one for "
              "each"});
  CHECK(wrong("{\n\"a\":1,\n\n}") == Lines{"c.json:4: the configuration is not JSON"});
}

TEST_CASE("what is only odd is served by, and told", "[config]") {
  const std::string odd =
      with(kGood, "\"push\"", "\"push\",\"weights\":\"new\",\"tenants\":[{\"name\":\"a\"}]");
  CHECK(
      parse(odd).warnings ==
      Lines{
          "c.json:5: warning: field 'settings.weights': unknown word 'new'; wanted: 'silent', 'nominal', "
          "'rough', 'live'",
          "c.json:5: warning: field 'settings.tenants': the quotas add up to nothing: every request is over "
          "its tenant's share; wanted: a quotaRps above 0"});
}

TEST_CASE("a reload that contradicts itself is turned down whole, and told line by line", "[config][app]") {
  daemon::Loop loop;
  std::string next = kGood;
  Lines logs;
  daemon::Dispatcher dispatcher(
      loop, parse(kGood), {{"chat.json", kChatConfig}, {}},
      [&](std::string_view line) { logs.emplace_back(line); },
      [&] {
        return daemon::ConfigurationFiles{parse(next), {{"chat.json", kChatConfig}, {}}};
      });
  // A new class, which would show in the line of a reload, beside a contradiction.
  next =
      with(kGood, "[\n",
           "[{\"name\":\"new\",\"repeat\":\"safe\",\"objectiveMs\":900,\"deadlineMs\":2000,\"worth\":1},\n");
  const std::string good = next;
  next = with(with(next, "\"mostTries\":4", "\"mostTries\":1"), "\"myNumber\":0", "\"myNumber\":2");
  const Lines told = wrong(next);
  REQUIRE(told.size() == 2);
  dispatcher.reload();
  CHECK(Lines(logs.end() - 3, logs.end() - 1) == told);
  CHECK(logs.back() == "reload failed, the old configuration stays: see the lines above");
  next = kGood;
  dispatcher.reload();
  CHECK(logs.back() == "reloaded: discovery at 127.0.0.1:1, classes ask command");
  next = with(good, "\"push\"", "\"push\",\"worthBy\":\"new\"");
  logs.clear();
  dispatcher.reload();
  CHECK(logs ==
        Lines{parse(next).warnings.at(0), "reloaded: discovery at 127.0.0.1:1, classes new ask command"});
}

}  // namespace
}  // namespace dispatcher::testing
