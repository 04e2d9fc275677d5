// Limits of the HTTP server: connections and body memory.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

void answer_ok(FakeEndpoint& replica, SlotId client, const ReceivedRequest&) {
  replica.respond(client, 200, "ok");
}

TEST_CASE("silent and unfinished connections are evicted for a client with a request", "[server]") {
  TestEventLoop loop;
  http::ServerOptions options;
  options.max_clients = 4;
  FakeEndpoint replica(loop, answer_ok, options);
  const std::string start = GENERATE("", "GET / HT");
  std::vector<std::string> closed;
  replica.server.set_connection_log([&](std::string_view line) { closed.emplace_back(line); });
  std::vector<std::unique_ptr<FakeClient>> crowd;
  const auto join = [&](int client_count) {
    for (int i = 0; i < client_count; ++i) {
      crowd.push_back(std::make_unique<FakeClient>(loop, replica.server.local()));
      crowd.back()->send(start);
    }
    loop.settle();
  };
  FakeClient steady(loop, replica.server.local());
  steady.get("/first");
  REQUIRE(loop.until([&] { return steady.is_complete; }));
  join(2);
  loop.advance(milliseconds(300));
  join(1);
  if (start.empty()) CHECK_FALSE(steady.is_closed);  // one that has asked before is of more use
  join(20);
  CHECK(replica.server.client_count() <= 4);
  FakeClient real(loop, replica.server.local());
  real.get("/real");
  REQUIRE(loop.until([&] { return real.is_finished(); }));
  CHECK(real.status == 200);
  CHECK(std::any_of(closed.begin(), closed.end(),
                    [](const std::string& line) { return line.ends_with(" closed reason=evicted"); }));
}

TEST_CASE("the memory of request bodies is limited over all clients", "[server]") {
  TestEventLoop loop;
  http::ServerOptions options;
  options.max_body_bytes = 1000;
  FakeEndpoint replica(loop, answer_ok, options);
  FakeClient first(loop, replica.server.local()), second(loop, replica.server.local());
  first.send("POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(800, 'x'));
  loop.settle();
  second.send("POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(300, 'x'));
  REQUIRE(loop.until([&] { return second.is_finished(); }));
  CHECK(second.status == 503);
  first.send(std::string(100, 'x'));
  REQUIRE(loop.until([&] { return first.is_finished(); }));
  CHECK(first.status == 200);
}

}  // namespace
}  // namespace dispatcher::testing
