// The operators' interface, and the effect of a drained endpoint in the router and the connection pool.
#include <algorithm>
#include <random>
#include <set>

#include "admin/admin_server.hpp"
#include "daemon/config.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

// An admin server whose only endpoint is s-1.
struct AdminFixture : TestEventLoop {
  AdminFixture()
      : server(io, loopback(), timers, clock(),
               {[this] { return is_ready; },
                [this](const engine::EndpointId& endpoint, engine::AdministrativeState state) {
                  const bool is_drained = state == engine::AdministrativeState::kDrained;
                  commands.push_back(endpoint.value() + (is_drained ? " offline" : " online"));
                  return endpoint == "s-1";
                }},
               {}) {
    server.open();
  }
  std::unique_ptr<FakeClient> connect() { return std::make_unique<FakeClient>(*this, server.local()); }
  // The status of the answer to a request, which is its connection's only one.
  int status_of(const std::string& bytes) {
    auto client = connect();
    client->send(bytes);
    CHECK(until([&] { return client->is_closed; }));
    return client->status;
  }
  bool is_ready = false;
  std::vector<std::string> commands;
  admin::AdminServer server;
};

// A POST request without a body.
std::string post(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
}

TEST_CASE("the admin interface serves its calls, and answers all others with 4xx", "[console]") {
  AdminFixture fixture;
  CHECK(fixture.status_of("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 503);
  fixture.is_ready = true;
  CHECK(fixture.status_of("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200);
  CHECK(fixture.status_of(post("/control/replicas/s-1/offline")) == 200);
  CHECK(fixture.status_of(post("/control/replicas/s-1/online")) == 200);
  CHECK(fixture.status_of(post("/control/replicas/s-2/offline")) == 404);
  CHECK(fixture.commands == std::vector<std::string>{"s-1 offline", "s-1 online", "s-2 offline"});
  for (const std::string path : {"/control/replicas//offline", "/control/replicas/s-1/off",
                                 "/control/replicas/s-1", "/control/replicas/a%20b/online", "/healthz"})
    CHECK(fixture.status_of(post(path)) == 404);
  CHECK(fixture.status_of(post("/control/ready")) == 405);
  CHECK(fixture.status_of("GET /control/replicas/s-1/online HTTP/1.1\r\nHost: x\r\n\r\n") == 405);
  CHECK(fixture.status_of("what is this\r\n\r\n") == 400);
  CHECK(fixture.commands.size() == 3);
}

TEST_CASE("connections with unfinished admin requests are evicted for the next one", "[console]") {
  AdminFixture fixture;
  std::vector<std::unique_ptr<FakeClient>> slow;
  for (std::size_t i = 0; i < 3 * admin::kMaxConnections; ++i) {
    slow.push_back(fixture.connect());
    slow.back()->send("GET /control/re");
  }
  fixture.settle();
  fixture.advance(milliseconds(300));  // younger ones may have their call on the way
  fixture.is_ready = true;
  CHECK(fixture.status_of("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200);
  fixture.advance(milliseconds(1300));  // their deadline and a time to read their response
  CHECK(fixture.until([&] {
    return std::all_of(slow.begin(), slow.end(), [](const auto& client) { return client->is_closed; });
  }));
}

TEST_CASE("admin requests in random pieces are served, and random bytes get 4xx", "[console]") {
  AdminFixture fixture;
  fixture.is_ready = true;
  std::mt19937 random(7);
  const std::string call = post("/control/replicas/s-1/offline");
  for (int i = 0; i < 40; ++i) {
    auto client = fixture.connect();
    for (std::size_t at = 0; at < call.size();) {
      const std::size_t size = 1 + random() % 20;
      client->send(call.substr(at, size));
      at += size;
      fixture.settle();
    }
    REQUIRE(fixture.until([&] { return client->is_finished(); }));
    CHECK(client->status == 200);
  }
  CHECK(fixture.commands.size() == 40);
  for (int i = 0; i < 40; ++i) {
    std::string garbage;
    const std::size_t size = 5 + random() % 60;
    while (garbage.size() < size) garbage += static_cast<char>(1 + random() % 255);
    CHECK(fixture.status_of(garbage + "\r\n\r\n") / 100 == 4);
  }
  CHECK(fixture.commands.size() == 40);
}

TEST_CASE("PROXY_CONSOLE takes precedence over the file's console", "[console]") {
  const std::string source = R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:3","console":"here"})";
  const auto problem = [&](const daemon::Environment& environment) -> std::string {
    try {
      daemon::parse_config(source, environment);
    } catch (const daemon::ConfigError& error) {
      return error.what();
    }
    return {};
  };
  CHECK(problem({}).find("'console'") != std::string::npos);
  CHECK(problem({{"PROXY_CONSOLE", "127.0.0.1:5"}}) ==
        "configuration:1: field 'settings': missing; wanted: object");  // all that is left
}

// ---- the router ----

// A router with two readers and two writers.
struct RouterFixture {
  RouterFixture() : router(make_settings(), 1) { list(routing::ListKind::kFull, {"r1", "r2", "w1", "w2"}); }
  void list(routing::ListKind kind, const std::vector<std::string>& endpoints,
            routing::EndpointState state = routing::EndpointState::kReady) {
    routing::EndpointList all{kind, {}};
    for (const std::string& endpoint : endpoints) all.entries.push_back(make_endpoint(endpoint, state));
    router.handle(now, all);
  }
  // The endpoint at which a new request is read; empty: none.
  std::string reader_of_next() {
    routing::Request request;
    request.id = "q" + std::to_string(++count);
    request.request_class = "ask";
    request.session = 1;  // its prefix is cached at one endpoint
    request.prompt_tokens = 1000;
    request.client_deadline = now + seconds(6);
    std::string endpoint;
    for (const auto& action : router.handle(now, request)) {
      if (const auto* attempt = std::get_if<routing::StartAttempt>(&action))
        endpoint = attempt->endpoint.value();
    }
    if (!endpoint.empty()) {
      routing::AttemptCompleted read{
          request.id, endpoint, 0, routing::AttemptStatus::kRead, milliseconds(50), false, 0, {}, {}};
      router.handle(now, read);
      router.handle(now, routing::ClientGone{request.id});
    }
    now += milliseconds(100);
    return endpoint;
  }
  std::set<std::string> readers(int requests) {
    std::set<std::string> all;
    for (int i = 0; i < requests; ++i) all.insert(reader_of_next());
    return all;
  }
  void set_administrative_state(const std::string& endpoint, AdministrativeState state) {
    router.handle(now, routing::AdministrativeDrain{endpoint, state});
  }
  routing::Router router;
  engine::Time now = seconds(1000);
  int count = 0;
};

TEST_CASE("an endpoint that operators drained gets no requests, whatever lists say", "[console]") {
  using routing::EndpointState;
  using routing::ListKind;
  RouterFixture fixture;
  const std::string home = fixture.reader_of_next();
  const std::string other = home == "r1" ? "r2" : "r1";
  fixture.set_administrative_state(home, AdministrativeState::kDrained);
  fixture.set_administrative_state(home, AdministrativeState::kDrained);
  CHECK(fixture.readers(5) == std::set{other});
  fixture.list(ListKind::kFull, {"r1", "r2", "w1", "w2"});
  CHECK(fixture.readers(5) == std::set{other});
  fixture.list(ListKind::kDelta, {home}, EndpointState::kRemoved);
  fixture.list(ListKind::kDelta, {home});
  CHECK(fixture.readers(5) == std::set{other});
  fixture.set_administrative_state(home, AdministrativeState::kInService);  // one for any number
  CHECK(fixture.readers(5).contains(home));
}

TEST_CASE("an endpoint that operators return gets requests within its slow-start budget", "[console]") {
  RouterFixture fixture;
  CHECK(fixture.readers(100).size() == 1);  // all go where the conversation's texts are
  const std::string home = fixture.reader_of_next();
  const std::string other = home == "r1" ? "r2" : "r1";
  fixture.set_administrative_state(other, AdministrativeState::kDrained);
  fixture.set_administrative_state(other, AdministrativeState::kInService);
  CHECK(fixture.reader_of_next() == other);  // at once, though no prefix is cached there
  // Now the starting one is the only one.
  fixture.set_administrative_state(home, AdministrativeState::kDrained);
  int served = 0;
  for (int i = 0; i < 20; ++i) served += fixture.reader_of_next() == other ? 1 : 0;
  // 10 requests a second, of which a starting endpoint may get 4 times 0.3 of a warm one's rate.
  CHECK(served >= 2);
  CHECK(served <= 20 * 4 * 0.3);
}

// ---- the connection pool ----

TEST_CASE("an attempt that waits for a connection to a drained endpoint fails unsent", "[console][pool]") {
  const std::size_t left_out = GENERATE(0, 1);  // whichever the module chooses, one of them is it
  const std::string endpoint = left_out == 0 ? "r1" : "r2";
  Fixture fixture(healthy_reader, healthy_writer);
  auto client = fixture.post("a1", "command");
  // The reader's connection is being opened within the very call that takes the request.
  while (fixture.pool.open_connections() == 0) {
    fixture.io.restart();
    fixture.io.run_one();
  }
  fixture.engine.set_administrative_state(endpoint, AdministrativeState::kDrained);
  fixture.pool.set_administrative_state(endpoint, AdministrativeState::kDrained);
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(client->status == 200);
  CHECK(fixture.reader(left_out).received.empty());
  CHECK(fixture.reader(1 - left_out).count("POST", "a1") == 1);
}

}  // namespace
}  // namespace dispatcher::testing
