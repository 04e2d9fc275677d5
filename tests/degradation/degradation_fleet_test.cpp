// Tests degradation levels in a dispatcher: signals, both frontends, the admin interface, a reload and a hot
// restart.
#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "admin/admin_server.hpp"
#include "degradation/degradation_controller.hpp"
#include "tests/fixtures/daemon_fixture.hpp"

namespace dispatcher::testing {
namespace {

using namespace degradation;
using expression::Value;
using routing::EndpointState;
using Json = nlohmann::json;

constexpr const char* kTwoLevels =
    R"(levels: [{name: "mild", enter: "late.command > 0.3", leave: "late.command < 0.1", shed: [{classes: ["ask"], when: "account.use > 1.5"}]},
{name: "hard", enter: "ready.readers < 0.4", leave: "ready.readers > 0.6", shed: [{classes: ["ask"], retry_ms: {least: 700, most: 900}}]}])";

// A controller with its log. Its clock changes only if the test advances it, unless another clock is passed.
struct ControllerFixture {
  explicit ControllerFixture(const std::string& text, const engine::Clock& clock = {})
      : controller(
            settings, DegradationController::read({"l.cue", text}, settings),
            clock ? clock : [this] { return now; },
            [this](std::string_view entry) { logs.emplace_back(entry); }, [] { return 0.5; }) {}
  routing::Settings settings = make_settings();
  Time now = seconds(1'800'000'000);
  std::vector<std::string> logs;
  DegradationController controller;
};

constexpr std::size_t kInProgress = 3;

std::string signal_text(Signals& signals, const std::string& name, std::optional<Time> endpoints_updated_at,
                        Time now) {
  const auto fields = Signals::fields(make_settings());
  const auto values = signals.values(kInProgress, endpoints_updated_at, now);
  return expression::to_text(values[static_cast<std::size_t>(fields.find(name))]);
}

// Attaches one rate limiter without rules and one controller to both frontends of a fixture.
struct AttachedFrontends {
  AttachedFrontends(Fixture& attached, DegradationController& controller) : fixture(attached) {
    fixture.platform.attach(rate_limiter);
    fixture.platform.attach(controller);
    fixture.chat->attach(rate_limiter);
    fixture.chat->attach(controller);
  }
  std::unique_ptr<FakeClient> post(bool through_chat, const std::string& id,
                                   const std::string& request_class) const {
    auto client = through_chat ? fixture.chat_client() : fixture.platform_client();
    client->post(through_chat ? "Content-Type: application/json\r\n" : platform_headers(id, request_class),
                 chat_body(request_class, ResponseMode::kStream));
    return client;
  }
  Fixture& fixture;
  rate_limit::RateLimiter rate_limiter{1};
};

TEST_CASE("signals are fractions of the known values, and absent if none is known", "[levels]") {
  Signals signals(make_settings());
  Time now = seconds(1'800'000'000);
  const std::string absent = "none: a field that the request lacks";
  const auto text = [&](const char* name) { return signal_text(signals, name, now, now); };
  CHECK(text("late.ask") == absent);
  CHECK(text("open") == "3");
  for (int i = 0; i < 19; ++i)
    signals.first_token("ask", i < 5 ? FirstTokenTiming::kLate : FirstTokenTiming::kInTime, now);
  CHECK(text("late.ask") == absent);  // too few events
  signals.request_not_served("ask", engine::NotServedReason::kRejected, now);
  CHECK(text("late.ask") == "0.3");
  CHECK(text("refused") == "0.05");
  CHECK(text("late.command") == absent);
  signals.first_token("nothing", FirstTokenTiming::kLate, now);
  CHECK(text("refused") == "0.05");
  now += seconds(11);
  CHECK(text("late.ask") == absent);

  CHECK(text("ready.readers") == absent);
  routing::EndpointList list{routing::ListKind::kFull, {}};
  for (const auto& [name, zone] : std::vector<std::pair<std::string, std::string>>{
           {"r1", "a"}, {"r2", "a"}, {"r3", "b"}, {"r4", "b"}, {"r5", "b"}})
    list.entries.push_back({name, zone, "reader", 0, EndpointState::kReady, 1, {}});
  signals.update_endpoints(list, now);
  CHECK(text("ready.readers") == "1");
  CHECK(text("ready.writers") == absent);
  routing::EndpointList lost{routing::ListKind::kDelta, {}};
  lost.entries = {{"r3", "b", "reader", 0, EndpointState::kRemoved, 1, {}},
                  {"r4", "b", "reader", 0, EndpointState::kDraining, 1, {}}};
  signals.update_endpoints(lost, now);
  CHECK(text("ready.readers") == "0.6");
  CHECK(text("ready.least_zone_readers") == expression::to_text(Value::of(1.0 / 3)));
  CHECK(signal_text(signals, "ready.readers", now - seconds(11), now) == absent);  // the list is too old
  CHECK(signal_text(signals, "ready.readers", std::nullopt, now) == absent);
  for (int i = 0; i < 40; ++i) {  // after half an hour, the remaining endpoints count as the complete fleet
    now += seconds(60);
    text("ready.readers");
  }
  CHECK(text("ready.readers") == "1");

  CHECK(expression::to_text(signals.quota_usage("acme", now)) == "0");
  for (int i = 0; i < 5000; ++i) signals.request_arrived("acme", now);
  CHECK(expression::to_text(signals.quota_usage("acme", now)) == "0.5");  // 500 a second of 1,000
  CHECK(signals.quota_usage("nobody", now).failed());
}

TEST_CASE("both frontends immediately shed the classes that the level names, but no request in progress",
          "[levels][chat][platform]") {
  for (const bool through_chat : {true, false}) {
    Fixture fixture(
        healthy_reader,
        [](FakeEndpoint& replica, SlotId client, const FakeEndpoint::ReceivedRequest&) {
          replica.stream_words(client, {"a"}, StreamEnd::kOpen);
        },
        kChatConfig);
    ControllerFixture levels(kTwoLevels, fixture.clock());
    const AttachedFrontends frontends(fixture, levels.controller);
    std::vector<std::unique_ptr<FakeClient>> clients;
    const auto send = [&](const std::string& request_class) -> FakeClient& {
      clients.push_back(
          frontends.post(through_chat, "a" + std::to_string(clients.size() + 1), request_class));
      fixture.settle();
      fixture.settle();
      return *clients.back();
    };
    FakeClient& running = send("ask");
    CHECK(running.status == 200);
    REQUIRE(levels.controller.set_override("hard"));
    const int before = fixture.request_count("POST", Role::kReader);
    FakeClient& ask = send("ask");
    CHECK(ask.status == 503);
    CHECK(ask.headers["Retry-After"] == (through_chat ? "1" : "0.500"));  // the platform's maximum is 0.5 s
    if (through_chat) CHECK(ask.headers["Retry-After-Ms"] == "800");
    CHECK(fixture.request_count("POST", Role::kReader) == before);
    CHECK(send("command").status == 200);
    CHECK_FALSE(running.is_finished());
    REQUIRE(levels.controller.set_override("mild"));  // sheds only accounts beyond their quota
    CHECK(send("ask").status == 200);
    REQUIRE(levels.controller.set_override("normal"));
    CHECK(send("ask").status == 200);
    CHECK(levels.controller.status()["shed"] == 0);
  }
}

TEST_CASE("an account over its quota is shed even if all others are idle, and served once its rate falls",
          "[levels][chat][platform]") {
  for (const bool through_chat : {true, false}) {
    Fixture fixture(healthy_reader, healthy_writer, kChatConfig);
    ControllerFixture levels(kTwoLevels, fixture.clock());
    routing::Settings narrow = make_settings();
    narrow.tenants = {{"acme", 1.0}};  // one request a second
    levels.controller.apply_settings(narrow, DegradationController::read({"l.cue", kTwoLevels}, narrow));
    const AttachedFrontends frontends(fixture, levels.controller);
    int id = 0;
    const auto served = [&](const std::string& request_class, int requests) {
      int count = 0;
      for (int i = 0; i < requests; ++i) {
        const auto client = frontends.post(through_chat, "c" + std::to_string(++id), request_class);
        REQUIRE(fixture.until([&] { return client->is_finished(); }));
        count += client->status == 200 ? 1 : 0;
        CHECK((client->status == 200 || client->status == 503));
      }
      return count;
    };
    CHECK(served("ask", 20) == 20);  // normal service sheds nothing
    fixture.now += seconds(11);
    REQUIRE(levels.controller.set_override("mild"));
    CHECK(served("ask", 30) == 15);  // up to 1.5 times its quota in the last ten seconds
    CHECK(served("command", 5) == 5);
    fixture.now += seconds(11);
    CHECK(served("ask", 10) == 10);
  }
}

TEST_CASE("engine events change the level, and each change is logged with its cause", "[levels][core]") {
  Fixture fixture(healthy_reader, healthy_writer);
  ControllerFixture levels(kTwoLevels, fixture.clock());
  fixture.engine.set_request_observer(&levels.controller);
  int id = 0;
  const auto serve = [&](int requests) {
    for (int i = 0; i < requests; ++i) {
      auto client = fixture.platform_client();
      client->post(platform_headers("b" + std::to_string(++id), "command"), "{}");
      REQUIRE(fixture.until([&] { return client->is_finished(); }));
    }
  };
  for (int second = 0; second < 8; ++second) {
    serve(5);
    fixture.now += seconds(1);
    levels.controller.tick(0, fixture.now);
  }
  CHECK(levels.controller.status()["signals"]["late.command"] == 0.0);
  CHECK(levels.controller.machine().level() == 0);
  for (int second = 0; second < 10; ++second) {
    for (int i = 0; i < 10; ++i) levels.controller.on_first_token("command", FirstTokenTiming::kLate);
    fixture.now += seconds(1);
    levels.controller.tick(0, fixture.now);
  }
  CHECK(levels.controller.machine().level_name() == "mild");
  REQUIRE(levels.logs.size() == 1);
  CHECK(levels.logs[0].starts_with("level normal -> mild: entered by late.command > 0.3, "));
  CHECK(levels.logs[0].find("late.command 0.") != std::string::npos);
  const Json changes = levels.controller.history();
  CHECK(changes["levels"] == Json::array({"normal", "mild", "hard"}));
  CHECK(changes["changes"][0]["condition"] == "late.command > 0.3");
}

TEST_CASE("the admin interface shows the levels, and sets and clears an override", "[levels][console]") {
  TestEventLoop work;
  ControllerFixture levels(kTwoLevels, work.clock());
  admin::AdminServer admin_server(
      work.io, loopback(), work.timers, work.clock(),
      {[] { return true; }, [](const engine::EndpointId&, engine::AdministrativeState) { return false; },
       [&] { return levels.controller.status(); }, [&] { return levels.controller.history(); },
       [&](const std::string& name) { return levels.controller.set_override(name); }},
      {});
  admin_server.open();
  const auto call = [&](const std::string& method, const std::string& path) {
    FakeClient client(work, admin_server.local());
    client.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(work.until([&] { return client.is_finished(); }));
    return std::pair(client.status, client.body);
  };
  CHECK(Json::parse(call("GET", "/control/level").second)["level"] == "normal");
  CHECK(call("POST", "/control/level/hard").first == 200);
  CHECK(Json::parse(call("GET", "/control/level").second)["pinned"] == true);
  CHECK(call("POST", "/control/level/nothing").first == 404);
  CHECK(call("POST", "/control/level/").first == 404);
  CHECK(call("GET", "/control/levelx").first == 404);
  CHECK(call("GET", "/control/level/hard").first == 405);
  CHECK(call("POST", "/control/levels").first == 405);
  CHECK(call("POST", "/control/level/auto").first == 200);
  const Json level = Json::parse(call("GET", "/control/level").second);
  CHECK(level["level"] == "hard");
  CHECK(level["pinned"] == false);
  CHECK(Json::parse(call("GET", "/control/levels").second)["changes"].size() == 1);
}

TEST_CASE("an override and an active level survive a reload and a hot restart", "[levels]") {
  ControllerFixture levels(kTwoLevels), next(kTwoLevels);
  REQUIRE(levels.controller.set_override("hard"));
  levels.controller.apply_settings(levels.settings,
                                   DegradationController::read({"l.cue", kTwoLevels}, levels.settings));
  CHECK(levels.controller.status()["pinned"] == true);
  next.controller.restore(levels.controller.status());
  CHECK(next.controller.status()["level"] == "hard");
  CHECK(next.controller.status()["pinned"] == true);
  REQUIRE(levels.controller.set_override("auto"));
  ControllerFixture third(kTwoLevels);
  third.controller.restore(levels.controller.status());
  CHECK(third.controller.status()["level"] == "hard");
  CHECK(third.controller.status()["pinned"] == false);
  for (const Json& bad : {Json(), Json(5), Json{{"level", 5}}, Json{{"level", "zz"}, {"pinned", true}}}) {
    ControllerFixture fourth(kTwoLevels);
    fourth.controller.restore(bad);
    CHECK(fourth.controller.machine().level() == 0);
  }
}

TEST_CASE("a reload with an invalid levels file changes nothing", "[levels][app][upgrade]") {
  daemon::Loop loop;
  daemon::Config config = make_daemon_config("n1");
  config.admin_address = loopback();
  std::vector<std::string> logs;
  daemon::FeatureFiles texts;
  texts.levels = cue::File{"levels.cue", kTwoLevels};
  daemon::ConfigurationFiles next{config, texts};
  daemon::Dispatcher dispatcher(
      loop, config, texts, [&](std::string_view line) { logs.emplace_back(line); }, [&] { return next; });
  dispatcher.start();
  next.features.levels->text = "levels: [{name: \"a\", enter: \"open > 5\", leave: \"open > 3\"}]";
  dispatcher.reload();
  CHECK(logs.back().find("levels[0].leave: can hold while 'enter' does") != std::string::npos);
  next.features.levels->text = kTwoLevels;
  dispatcher.reload();
  CHECK(logs.back().starts_with("reloaded"));
}

TEST_CASE("the shipped levels file is valid", "[levels][deploy]") {
  std::ifstream file(std::string(DISPATCHER_SOURCE) + "/deploy/levels.cue");
  std::ostringstream text;
  text << file.rdbuf();
  CHECK(DegradationController::read({"levels.cue", text.str()}, make_settings())->levels().size() == 3);
}

}  // namespace
}  // namespace dispatcher::testing
