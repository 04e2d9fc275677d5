// Tests settings that change at run time: how a new file is checked, and which settings apply to which
// requests.
#include <algorithm>
#include <random>

#include "daemon/config.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using Json = nlohmann::json;

Json valid_file() {
  return Json::parse(R"({"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:3","seed":"7",
    "limits":{"cores":1.0,"memory_mb":64,"sockets":512},
    "settings":{"myNumber":0,"balancers":2,"granularityMs":4.0,"hostTypes":["reader","writer"],
      "registryMode":"push","categories":[
        {"name":"ask","repeat":"safe","objectiveMs":1200.0,"deadlineMs":6000.0,"worth":1.0,"lateValue":0.3},
        {"name":"command","repeat":"unsafe","objectiveMs":800.0,"deadlineMs":3000.0,"worth":5.0}],
      "familyInfo":{"dutyByKind":["read","write"],"pinLimitMs":300.0},
      "limits":{"mostTries":4,"connectTimeoutMs":250.0,"idleCloseMs":15000.0},
      "guarantees":{"answerSlackMs":16.0,"drainGraceMs":250.0,"coldShare":0.3,"coldMs":14000.0,
        "tipMultiple":4.0,"tipAfterMs":2000.0}}})");
}

// Returns the error with which a reload would reject the file, or an empty string if it would accept the
// file.
std::string reload_error(const std::string& text) {
  try {
    daemon::check_keys(valid_file(), daemon::parse_config(text, {}).source);
  } catch (const daemon::ConfigError& error) {
    return error.what();
  }
  return {};
}

TEST_CASE("a file that is empty, truncated or without any one key is rejected", "[settings]") {
  const std::string text = valid_file().dump();
  CHECK(reload_error(text).empty());
  std::mt19937 random(17);
  for (int i = 0; i < 200; ++i) CHECK_FALSE(reload_error(text.substr(0, random() % text.size())).empty());
  const Json flat = valid_file().flatten();
  for (const auto& [path, value] : flat.items()) {
    Json less = valid_file();
    const Json::json_pointer at(path), parent = at.parent_pointer();
    if (!less[parent].is_object()) continue;
    less[parent].erase(at.back());
    INFO(path);
    // A key that only some classes had before may be missing in any of them.
    CHECK(reload_error(less.dump()).empty() == (path == "/settings/categories/0/lateValue"));
  }
}

TEST_CASE("deadlines and numbers of attempts are numbers above 0", "[settings]") {
  for (const char* path : {"/settings/categories/1/deadlineMs", "/settings/limits/mostTries"}) {
    for (const Json& value : {Json(0), Json(-1), Json("4"), Json(true), Json(nullptr), Json::array({4})}) {
      Json bad = valid_file();
      bad[Json::json_pointer(path)] = value;
      INFO(path << " " << value);
      CHECK_FALSE(reload_error(bad.dump()).empty());
    }
  }
}

TEST_CASE("a reload may add and remove classes, and lower the number of attempts", "[settings]") {
  Json next = valid_file();
  Json& classes = next["settings"]["categories"];
  classes.push_back(classes[0]);
  classes.back()["name"] = "more";
  classes.erase(1);
  next["settings"]["limits"]["mostTries"] = 2;
  CHECK(reload_error(next.dump()).empty());
}

// Returns the fixture's settings with fewer attempts, an idempotent class "command", and the class "more" in
// place of "ask".
engine::SettingsSnapshot changed_settings() {
  routing::Settings settings = make_settings();
  settings.max_attempts = 2;
  settings.classes[0].name = "more";
  settings.classes[1].idempotency = routing::Idempotency::kIdempotent;
  return std::make_shared<const routing::Settings>(settings);
}

// Readers work, and each writer responds with an error.
TEST_CASE("an open request keeps the settings under which it arrived, and the next one gets the new ones",
          "[settings]") {
  Fixture fixture(healthy_reader, [](FakeEndpoint&, SlotId, const FakeEndpoint::ReceivedRequest&) {});
  const auto before = fixture.platform_client();
  const auto after = fixture.platform_client();
  const auto old = fixture.platform_client();
  const auto writes = [&](const std::string& id) { return fixture.request_count("POST", Role::kWriter, id); };
  before->post(platform_headers("a1", "command"), "{}");
  REQUIRE(fixture.until([&] { return writes("a1") == 1; }));
  fixture.engine.apply_settings(changed_settings());
  fixture.platform.apply_settings(changed_settings());
  after->post(platform_headers("a2", "more"), "{}");
  REQUIRE(fixture.until([&] { return writes("a2") == 1; }));
  old->post(platform_headers("a3", "ask"), "{}");
  REQUIRE(fixture.until([&] { return old->is_complete; }));
  CHECK(old->status == 400);  // the class no longer exists
  for (std::size_t i = 0; i < 2; ++i) {
    for (const SlotId client : std::exchange(fixture.writer(i).pending_clients, {}))
      fixture.writer(i).respond(client, 500);
  }
  REQUIRE(fixture.until([&] { return before->is_complete && after->is_complete; }));
  CHECK(before->status == 502);  // it was not idempotent and may have been executed
  CHECK(writes("a1") == 1);
  CHECK(after->status == 503);  // idempotent, but both of its two attempts have been used
  CHECK(writes("a2") == 1);
}

TEST_CASE("a request admitted with four attempts has four even after the limit is lowered to two",
          "[settings]") {
  const bool is_changed_before = GENERATE(false, true);
  Fixture fixture([](FakeEndpoint&, SlotId, const FakeEndpoint::ReceivedRequest&) {}, healthy_writer);
  const auto client = fixture.platform_client();
  if (is_changed_before) {
    fixture.engine.apply_settings(changed_settings());
    fixture.platform.apply_settings(changed_settings());
  }
  client->post(platform_headers("a1", "command"), "{}");
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", Role::kReader, "a1") == 1; }));
  if (!is_changed_before) fixture.engine.apply_settings(changed_settings());
  auto& reader = fixture.reader(0).pending_clients.empty() ? fixture.reader(1) : fixture.reader(0);
  reader.respond(reader.pending_clients.back(), 500);
  if (is_changed_before) {
    REQUIRE(fixture.until([&] { return client->is_complete; }));
    CHECK(client->status == 503);  // one attempt is left: too few for prefill and decode
  } else {
    CHECK(fixture.until([&] { return fixture.request_count("POST", Role::kReader, "a1") == 2; }));
  }
}

TEST_CASE("the chat frontend serves the models of the classes in the new settings", "[settings][chat]") {
  Fixture fixture(healthy_reader, healthy_writer, kChatConfig);
  const std::string next =
      R"({"listen":"127.0.0.1:0","account":"acme","models":[{"id":"more","class":"more"}]})";
  CHECK_THROWS(openai_api::parse_config({"chat.json", next}, make_settings()));
  fixture.engine.apply_settings(changed_settings());
  fixture.chat->apply_config(*openai_api::parse_config(
      {"chat.json", next}, *changed_settings()));  // the frontend keeps the settings that its models refer to
  const auto client = fixture.chat_client();
  const auto old = fixture.chat_client();
  client->post("", chat_body("more", ResponseMode::kCompletion));
  old->post("", chat_body("ask", ResponseMode::kCompletion));
  REQUIRE(fixture.until([&] { return client->is_complete && old->is_complete; }));
  CHECK(client->status == 200);
  CHECK(old->status == 404);
}

}  // namespace
}  // namespace dispatcher::testing
