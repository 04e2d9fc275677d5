// Levels at work: signals, both fronts, the console, a reload and an upgrade.
#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "admin/admin_server.hpp"
#include "daemon/dispatcher.hpp"
#include "degradation/degradation_controller.hpp"
#include "fixture.hpp"

namespace dispatcher::testing {
namespace {

using namespace degradation;
using expression::Value;
using routing::EndpointState;
using Json = nlohmann::json;

const std::string kSome =
    "levels: [{name: \"mild\", enter: \"late.command > 0.3\", leave: \"late.command < 0.1\", shed: "
    "[{classes: "
    "[\"ask\"], when: \"account.use > 1.5\"}]},\n{name: \"hard\", enter: \"ready.readers < 0.4\", leave: "
    "\"ready.readers > 0.6\", shed: [{classes: [\"ask\"], retry_ms: {least: 700, most: 900}}]}]";

struct Steered {
  explicit Steered(const std::string& text, engine::Clock clock = {})
      : control(
            settings, DegradationController::read({"l.cue", text}, settings),
            clock ? clock : [this] { return now; },
            [this](std::string_view line) { logs.emplace_back(line); }, [] { return 0.5; }) {}
  routing::Settings settings = make_settings();
  Time now = seconds(1'800'000'000);
  std::vector<std::string> logs;
  DegradationController control;
};

std::string signal(Signals& s, const std::string& name, std::optional<Time> heard, Time now) {
  const auto settings = make_settings();
  const auto fields = Signals::fields(settings);
  return expression::to_text(s.values(3, heard, now)[static_cast<std::size_t>(fields.find(name))]);
}

TEST_CASE("signals tell shares of what is known, and nothing of what is not", "[levels]") {
  Signals s(make_settings());
  Time now = seconds(1'800'000'000);
  const std::string absent = "none: a field that the request lacks";
  const auto is = [&](const char* name) { return signal(s, name, now, now); };
  CHECK(is("late.ask") == absent);
  CHECK(is("open") == "3");
  for (int i = 0; i < 19; ++i) s.first_token("ask", i < 5, now);
  CHECK(is("late.ask") == absent);  // too few
  s.given_up("ask", true, now);
  CHECK(is("late.ask") == "0.3");
  CHECK(is("refused") == "0.05");
  CHECK(is("late.command") == absent);
  s.first_token("nothing", true, now);
  CHECK(is("refused") == "0.05");
  now += seconds(11);
  CHECK(is("late.ask") == absent);

  CHECK(is("ready.readers") == absent);
  routing::EndpointList list{routing::ListKind::kFull, {}};
  for (const auto& [name, zone] : std::vector<std::pair<std::string, std::string>>{
           {"r1", "a"}, {"r2", "a"}, {"r3", "b"}, {"r4", "b"}, {"r5", "b"}})
    list.entries.push_back({name, zone, "reader", 0, EndpointState::kReady, 1, {}});
  s.endpoints(list, now);
  CHECK(is("ready.readers") == "1");
  CHECK(is("ready.writers") == absent);
  routing::EndpointList lost{routing::ListKind::kDelta, {}};
  lost.entries = {{"r3", "b", "reader", 0, EndpointState::kRemoved, 1, {}},
                  {"r4", "b", "reader", 0, EndpointState::kDraining, 1, {}}};
  s.endpoints(lost, now);
  CHECK(is("ready.readers") == "0.6");
  CHECK(is("ready.least_zone_readers") == expression::to_text(Value::of(1.0 / 3)));
  CHECK(signal(s, "ready.readers", now - seconds(11), now) == absent);  // an old list says nothing
  CHECK(signal(s, "ready.readers", std::nullopt, now) == absent);
  for (int i = 0; i < 40; ++i) {  // after half an hour what is left is what there is
    now += seconds(60);
    is("ready.readers");
  }
  CHECK(is("ready.readers") == "1");

  CHECK(expression::to_text(s.use("acme", now)) == "0");
  for (int i = 0; i < 5000; ++i) s.asked("acme", now);
  CHECK(expression::to_text(s.use("acme", now)) == "0.5");  // 500 a second of 1,000
  CHECK(s.use("nobody", now).failed());
}

TEST_CASE("both fronts shed what the level names, at once, and nothing that is taken",
          "[levels][chat][platform]") {
  for (const bool through_chat : {true, false}) {
    Fixture fixture(
        healthy_reader,
        [](FakeReplica& r, SlotId client, const FakeReplica::ReceivedRequest&) {
          r.stream_words(client, {"a"}, false);
        },
        kChatConfig);
    Steered s(kSome, fixture.clock());
    rate_limit::RateLimiter rate_limiter(1);
    fixture.platform.attach(rate_limiter);
    fixture.platform.attach(s.control);
    fixture.chat->attach(rate_limiter);
    fixture.chat->attach(s.control);
    std::vector<std::unique_ptr<FakeClient>> clients;
    const auto send = [&](const std::string& cls) -> FakeClient& {
      clients.push_back(through_chat ? fixture.chat_client() : fixture.platform_client());
      clients.back()->post(through_chat ? "Content-Type: application/json\r\n"
                                        : platform_headers("a" + std::to_string(clients.size()), cls),
                           chat_body(cls, true));
      fixture.settle();
      fixture.settle();
      return *clients.back();
    };
    FakeClient& running = send("ask");
    CHECK(running.status == 200);
    REQUIRE(s.control.order("hard"));
    const int before = fixture.request_count("POST", Role::kReader);
    FakeClient& ask = send("ask");
    CHECK(ask.status == 503);
    CHECK(ask.headers["Retry-After"] == (through_chat ? "1" : "0.500"));  // the platform's most is 0.5 s
    if (through_chat) CHECK(ask.headers["Retry-After-Ms"] == "800");
    CHECK(fixture.request_count("POST", Role::kReader) == before);
    CHECK(send("command").status == 200);
    CHECK_FALSE(running.is_finished());
    REQUIRE(s.control.order("mild"));  // sheds accounts beyond their share alone
    CHECK(send("ask").status == 200);
    REQUIRE(s.control.order("normal"));
    CHECK(send("ask").status == 200);
    CHECK(s.control.level()["shed"] == 0);
  }
}

TEST_CASE("an account beyond its share is shed when all others are quiet, and served once it asks for less",
          "[levels][chat][platform]") {
  for (const bool through_chat : {true, false}) {
    Fixture fixture(healthy_reader, healthy_writer, kChatConfig);
    Steered s(kSome, fixture.clock());
    routing::Settings narrow = make_settings();
    narrow.tenants = {{"acme", 1.0}};  // one request a second
    s.control.adopt(narrow, DegradationController::read({"l.cue", kSome}, narrow));
    rate_limit::RateLimiter rate_limiter(1);
    fixture.platform.attach(rate_limiter);
    fixture.platform.attach(s.control);
    fixture.chat->attach(rate_limiter);
    fixture.chat->attach(s.control);
    int id = 0;
    const auto served = [&](const std::string& cls, int n) {
      int count = 0;
      for (int i = 0; i < n; ++i) {
        auto client = through_chat ? fixture.chat_client() : fixture.platform_client();
        client->post(through_chat ? "Content-Type: application/json\r\n"
                                  : platform_headers("c" + std::to_string(++id), cls),
                     chat_body(cls, true));
        REQUIRE(fixture.until([&] { return client->is_finished(); }));
        count += client->status == 200 ? 1 : 0;
        CHECK((client->status == 200 || client->status == 503));
      }
      return count;
    };
    CHECK(served("ask", 20) == 20);  // normal service sheds nothing
    fixture.now += seconds(11);
    REQUIRE(s.control.order("mild"));
    CHECK(served("ask", 30) == 15);  // up to one and a half times its quota in the last ten seconds
    CHECK(served("command", 5) == 5);
    fixture.now += seconds(11);
    CHECK(served("ask", 10) == 10);
  }
}

TEST_CASE("what the engine sees moves the level, and each change is a line with its cause",
          "[levels][core]") {
  Fixture fixture(healthy_reader, healthy_writer);
  Steered s(kSome, fixture.clock());
  fixture.engine.attach(&s.control);
  int id = 0;
  const auto serve = [&](int n) {
    for (int i = 0; i < n; ++i) {
      auto client = fixture.platform_client();
      client->post(platform_headers("b" + std::to_string(++id), "command"), "{}");
      REQUIRE(fixture.until([&] { return client->is_finished(); }));
    }
  };
  for (int second = 0; second < 8; ++second) {
    serve(5);
    fixture.now += seconds(1);
    s.control.tick(0, fixture.now);
  }
  CHECK(s.control.level()["signals"]["late.command"] == 0.0);
  CHECK(s.control.machine().level() == 0);
  for (int second = 0; second < 10; ++second) {
    for (int i = 0; i < 10; ++i) s.control.first_token("command", true);
    fixture.now += seconds(1);
    s.control.tick(0, fixture.now);
  }
  CHECK(s.control.machine().level_name() == "mild");
  REQUIRE(s.logs.size() == 1);
  CHECK(s.logs[0].starts_with("level normal -> mild: entered by late.command > 0.3, "));
  CHECK(s.logs[0].find("late.command 0.") != std::string::npos);
  const Json changes = s.control.changes();
  CHECK(changes["levels"] == Json::array({"normal", "mild", "hard"}));
  CHECK(changes["changes"][0]["condition"] == "late.command > 0.3");
}

TEST_CASE("the console shows levels, pins them and lets go", "[levels][console]") {
  TestEventLoop work;
  Steered s(kSome, work.clock());
  admin::AdminServer console(
      work.io, loopback(), work.timers, work.clock(),
      {[] { return true; }, [](const std::string&, bool) { return false; }, [&] { return s.control.level(); },
       [&] { return s.control.changes(); }, [&](const std::string& name) { return s.control.order(name); }},
      {});
  console.open();
  const auto call = [&](const std::string& method, const std::string& path) {
    FakeClient client(work, console.local());
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

TEST_CASE("a pin and a level in force outlive a reload and the process", "[levels]") {
  Steered s(kSome), next(kSome);
  s.control.order("hard");
  s.control.adopt(s.settings, DegradationController::read({"l.cue", kSome}, s.settings));
  CHECK(s.control.level()["pinned"] == true);
  next.control.resume(s.control.level());
  CHECK(next.control.level()["level"] == "hard");
  CHECK(next.control.level()["pinned"] == true);
  s.control.order("auto");
  Steered third(kSome);
  third.control.resume(s.control.level());
  CHECK(third.control.level()["level"] == "hard");
  CHECK(third.control.level()["pinned"] == false);
  for (const Json& bad : {Json(), Json(5), Json{{"level", 5}}, Json{{"level", "zz"}, {"pinned", true}}}) {
    Steered fourth(kSome);
    fourth.control.resume(bad);
    CHECK(fourth.control.machine().level() == 0);
  }
}

TEST_CASE("a dispatcher hands its level on, and a bad file of levels changes nothing",
          "[levels][app][upgrade]") {
  daemon::Loop loop;
  daemon::Config config;
  config.name = "n1";
  config.listen = config.discovery = config.console.emplace(loopback());
  config.discovery.port(1);
  config.settings = make_settings();
  std::vector<std::string> logs;
  daemon::Texts texts;
  texts.levels = cue::File{"levels.cue", kSome};
  daemon::Files next{config, texts};
  daemon::Dispatcher dispatcher(
      loop, config, texts, [&](std::string_view line) { logs.emplace_back(line); }, [&] { return next; });
  dispatcher.start();
  next.texts.levels->text = "levels: [{name: \"a\", enter: \"open > 5\", leave: \"open > 3\"}]";
  dispatcher.reload();
  CHECK(logs.back().find("levels[0].leave: can hold while 'enter' does") != std::string::npos);
  next.texts.levels->text = kSome;
  dispatcher.reload();
  CHECK(logs.back().starts_with("reloaded"));
}

TEST_CASE("the levels that are shipped are read", "[levels][deploy]") {
  std::ifstream in(std::string(DISPATCHER_SOURCE) + "/deploy/levels.cue");
  std::ostringstream text;
  text << in.rdbuf();
  CHECK(DegradationController::read({"levels.cue", text.str()}, make_settings())->levels().size() == 3);
}

}  // namespace
}  // namespace dispatcher::testing
