// Tests the admin interface, and the effect of a drained endpoint in the router and the connection pool.
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
  // Sends a request on a new connection and returns the status of its response.
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

// Returns a POST request without a body.
std::string post(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
}

TEST_CASE("the admin interface serves its calls and responds to all others with 4xx", "[console]") {
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
  fixture.advance(milliseconds(300));  // younger connections are evicted last, as a request may be on its way
  fixture.is_ready = true;
  CHECK(fixture.status_of("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200);
  fixture.advance(milliseconds(1300));  // the deadline of their requests, and a time to read the response
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
        "configuration:1: field 'settings': missing; wanted: object");  // the only error left
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
  // Returns the endpoint that reads the prompt of a new request, or an empty string if there is none.
  std::string reader_of_next() {
    routing::Request request;
    request.id = "q" + std::to_string(++count);
    request.request_class = "ask";
    request.session = 1;  // one session, whose prefix is cached at one endpoint
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

TEST_CASE("an endpoint that operators drained gets no requests, whatever endpoint lists say", "[console]") {
  using routing::EndpointState;
  using routing::ListKind;
  RouterFixture fixture;
  const std::string caching_reader = fixture.reader_of_next();
  const std::string other_reader = caching_reader == "r1" ? "r2" : "r1";
  fixture.set_administrative_state(caching_reader, AdministrativeState::kDrained);
  fixture.set_administrative_state(caching_reader, AdministrativeState::kDrained);
  CHECK(fixture.readers(5) == std::set{other_reader});
  fixture.list(ListKind::kFull, {"r1", "r2", "w1", "w2"});
  CHECK(fixture.readers(5) == std::set{other_reader});
  fixture.list(ListKind::kDelta, {caching_reader}, EndpointState::kRemoved);
  fixture.list(ListKind::kDelta, {caching_reader});
  CHECK(fixture.readers(5) == std::set{other_reader});
  // One return to service undoes any number of drains.
  fixture.set_administrative_state(caching_reader, AdministrativeState::kInService);
  CHECK(fixture.readers(5).contains(caching_reader));
}

TEST_CASE("an endpoint that operators return to service gets requests within its slow-start budget",
          "[console]") {
  RouterFixture fixture;
  CHECK(fixture.readers(100).size() == 1);  // all go to the endpoint that caches the session's prefix
  const std::string caching_reader = fixture.reader_of_next();
  const std::string other_reader = caching_reader == "r1" ? "r2" : "r1";
  fixture.set_administrative_state(other_reader, AdministrativeState::kDrained);
  fixture.set_administrative_state(other_reader, AdministrativeState::kInService);
  CHECK(fixture.reader_of_next() == other_reader);  // at once, although it has no cached prefix
  // From here on the endpoint in slow start is the only reader in service.
  fixture.set_administrative_state(caching_reader, AdministrativeState::kDrained);
  int served = 0;
  for (int i = 0; i < 20; ++i) served += fixture.reader_of_next() == other_reader ? 1 : 0;
  // There are 10 requests a second. An endpoint in slow start may get 4 times 0.3 of the rate of a warm one.
  CHECK(served >= 2);
  CHECK(served <= 20 * 4 * 0.3);
}

// ---- the connection pool ----

TEST_CASE("an attempt that waits for a connection to a drained endpoint fails without being sent",
          "[console][pool]") {
  // The router chooses one of the two readers, so that in one of the two runs the chosen one is drained.
  const std::size_t drained = GENERATE(0, 1);
  const std::string endpoint = drained == 0 ? "r1" : "r2";
  Fixture fixture(healthy_reader, healthy_writer);
  auto client = fixture.post("a1", "command");
  // The connection to the reader is opened in the same call that accepts the request, and is not established
  // yet.
  while (fixture.pool.open_connections() == 0) {
    fixture.io.restart();
    fixture.io.run_one();
  }
  fixture.engine.set_administrative_state(endpoint, AdministrativeState::kDrained);
  fixture.pool.set_administrative_state(endpoint, AdministrativeState::kDrained);
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(client->status == 200);
  CHECK(fixture.reader(drained).received.empty());
  CHECK(fixture.reader(1 - drained).count("POST", "a1") == 1);
}

}  // namespace
}  // namespace dispatcher::testing
