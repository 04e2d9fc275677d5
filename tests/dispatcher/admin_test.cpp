// The operators' address, and what their word does in the module and the pool.
#include <algorithm>
#include <random>
#include <set>

#include "admin/admin_server.hpp"
#include "daemon/config.hpp"
#include "fixture.hpp"

namespace dispatcher::testing {
namespace {

struct Desk : Clockwork {
  Desk()
      : console(io, loopback(), timers, clock(),
                {[this] { return ready; },
                 [this](const std::string& endpoint, bool offline) {
                   told.push_back(endpoint + (offline ? " offline" : " online"));
                   return endpoint == "s-1";
                 }},
                {}) {
    console.open();
  }
  std::unique_ptr<StandInClient> caller() { return std::make_unique<StandInClient>(*this, console.local()); }
  int call(const std::string& bytes) {
    auto client = caller();
    client->send(bytes);
    CHECK(until([&] { return client->ended; }));  // one call a connection
    return client->status;
  }
  bool ready = false;
  std::vector<std::string> told;
  admin::AdminServer console;
};

std::string post(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
}

TEST_CASE("the console answers its calls, and all else with 4xx", "[console]") {
  Desk desk;
  CHECK(desk.call("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 503);
  desk.ready = true;
  CHECK(desk.call("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200);
  CHECK(desk.call(post("/control/replicas/s-1/offline")) == 200);
  CHECK(desk.call(post("/control/replicas/s-1/online")) == 200);
  CHECK(desk.call(post("/control/replicas/s-2/offline")) == 404);
  CHECK(desk.told == std::vector<std::string>{"s-1 offline", "s-1 online", "s-2 offline"});
  for (const std::string path : {"/control/replicas//offline", "/control/replicas/s-1/off",
                                 "/control/replicas/s-1", "/control/replicas/a%20b/online", "/healthz"})
    CHECK(desk.call(post(path)) == 404);
  CHECK(desk.call(post("/control/ready")) == 405);
  CHECK(desk.call("GET /control/replicas/s-1/online HTTP/1.1\r\nHost: x\r\n\r\n") == 405);
  CHECK(desk.call("what is this\r\n\r\n") == 400);
  CHECK(desk.told.size() == 3);
}

TEST_CASE("callers that never finish a call give way to the next", "[console]") {
  Desk desk;
  std::vector<std::unique_ptr<StandInClient>> slow;
  for (std::size_t i = 0; i < 3 * admin::kMaxConnections; ++i) {
    slow.push_back(desk.caller());
    slow.back()->send("GET /control/re");
  }
  desk.settle();
  desk.advance(milliseconds(300));  // younger ones may have their call on the way
  desk.ready = true;
  CHECK(desk.call("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200);
  desk.advance(milliseconds(1300));  // their deadline and a time to read what they are told
  CHECK(desk.until([&] {
    return std::all_of(slow.begin(), slow.end(), [](const auto& client) { return client->ended; });
  }));
}

TEST_CASE("random cuts and random garbage are answered as they should be", "[console]") {
  Desk desk;
  desk.ready = true;
  std::mt19937 random(7);
  const std::string call = post("/control/replicas/s-1/offline");
  for (int i = 0; i < 40; ++i) {
    auto client = desk.caller();
    for (std::size_t at = 0; at < call.size();) {
      const std::size_t n = 1 + random() % 20;
      client->send(call.substr(at, n));
      at += n;
      desk.settle();
    }
    REQUIRE(desk.until([&] { return client->answered(); }));
    CHECK(client->status == 200);
  }
  CHECK(desk.told.size() == 40);
  for (int i = 0; i < 40; ++i) {
    std::string garbage;
    for (std::size_t n = 5 + random() % 60; garbage.size() < n;)
      garbage += static_cast<char>(1 + random() % 255);
    CHECK(desk.call(garbage + "\r\n\r\n") / 100 == 4);
  }
  CHECK(desk.told.size() == 40);
}

TEST_CASE("PROXY_CONSOLE goes before the file's console", "[console]") {
  const std::string source = R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:3","console":"here"})";
  const auto problem = [&](const daemon::Environment& environment) -> std::string {
    try {
      daemon::parse_config(source, environment);
    } catch (const daemon::ConfigError& e) {
      return e.what();
    }
    return {};
  };
  CHECK(problem({}).find("'console'") != std::string::npos);
  CHECK(problem({{"PROXY_CONSOLE", "127.0.0.1:5"}}) ==
        "configuration:1: field 'settings': missing; wanted: object");  // all that is left
}

// ---- the module ----

struct Fleet {
  Fleet() : router(make_settings(), 1) { list(routing::ListKind::kFull, {"r1", "r2", "w1", "w2"}); }
  void list(routing::ListKind kind, const std::vector<std::string>& endpoints,
            routing::EndpointState state = routing::EndpointState::kReady) {
    routing::EndpointList all{kind, {}};
    for (const std::string& endpoint : endpoints)
      all.entries.push_back({endpoint, "here", endpoint[0] == 'r' ? "reader" : "writer", 0, state, 1, {}});
    router.handle(now, all);
  }
  // Where a new request is read; empty: nowhere.
  std::string reader_of_next() {
    routing::Request r;
    r.id = "q" + std::to_string(++count);
    r.request_class = "ask";
    r.session = 1;  // a conversation: its texts draw it to where they are kept
    r.prompt_tokens = 1000;
    r.client_deadline = now + seconds(6);
    std::string endpoint;
    for (const auto& action : router.handle(now, r)) {
      if (const auto* send = std::get_if<routing::StartAttempt>(&action)) endpoint = send->endpoint;
    }
    if (!endpoint.empty()) {
      routing::AttemptCompleted read{r.id,  endpoint, 0, routing::AttemptStatus::kRead, milliseconds(50),
                                     false, 0,        {}};
      router.handle(now, read);
      router.handle(now, routing::ClientGone{r.id});
    }
    now += milliseconds(100);
    return endpoint;
  }
  std::set<std::string> readers(int requests) {
    std::set<std::string> all;
    for (int i = 0; i < requests; ++i) all.insert(reader_of_next());
    return all;
  }
  void maintain(const std::string& endpoint, bool offline) {
    router.handle(now, routing::AdministrativeDrain{endpoint, offline});
  }
  routing::Router router;
  engine::Time now = seconds(1000);
  int count = 0;
};

TEST_CASE("an offline host gets nothing, through lists, leaving and returning", "[console]") {
  using routing::EndpointState;
  using routing::ListKind;
  Fleet fleet;
  const std::string home = fleet.reader_of_next(), other = home == "r1" ? "r2" : "r1";
  fleet.maintain(home, true);
  fleet.maintain(home, true);
  CHECK(fleet.readers(5) == std::set{other});
  fleet.list(ListKind::kFull, {"r1", "r2", "w1", "w2"});
  CHECK(fleet.readers(5) == std::set{other});
  fleet.list(ListKind::kDelta, {home}, EndpointState::kRemoved);
  fleet.list(ListKind::kDelta, {home});
  CHECK(fleet.readers(5) == std::set{other});
  fleet.maintain(home, false);  // one for any number
  CHECK(fleet.readers(5).contains(home));
}

TEST_CASE("a host that is back gets work soon, as a cold one and within its budget", "[console]") {
  Fleet fleet;
  CHECK(fleet.readers(100).size() == 1);  // all go where the conversation's texts are
  const std::string home = fleet.reader_of_next(), other = home == "r1" ? "r2" : "r1";
  fleet.maintain(other, true);
  fleet.maintain(other, false);
  CHECK(fleet.reader_of_next() == other);  // at once, though nothing is kept there
  fleet.maintain(home, true);              // now the cold one is all there is
  int served = 0;
  for (int i = 0; i < 20; ++i) served += fleet.reader_of_next() == other ? 1 : 0;
  // 10 requests a second, of which a cold host may have 4 times 0.3 of what a warm one was seen to do.
  CHECK(served >= 2);
  CHECK(served <= 20 * 4 * 0.3);
}

// ---- the pool ----

TEST_CASE("what waits for a connection to a host fails unsent once the host is offline", "[console][pool]") {
  const std::size_t left_out = GENERATE(0, 1);  // whichever the module chooses, one of them is it
  const std::string endpoint = left_out == 0 ? "r1" : "r2";
  Fixture fixture(read_well, write_well);
  auto client = fixture.platform_client();
  client->post(facts("a1", "command"), R"({"model":"chat","messages":[]})");
  // The reader's connection is being opened within the very call that takes the request.
  while (fixture.pool.open() == 0) {
    fixture.io.restart();
    fixture.io.run_one();
  }
  fixture.engine.maintain(endpoint, true);
  fixture.pool.maintain(endpoint, true);
  REQUIRE(fixture.until([&] { return client->whole; }));
  CHECK(client->status == 200);
  CHECK(fixture.reader(left_out).seen.empty());
  CHECK(fixture.reader(1 - left_out).count("POST", "a1") == 1);
}

}  // namespace
}  // namespace dispatcher::testing
