// Limits of the HTTP server on connections and body memory.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

void answer_ok(FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
  endpoint.respond(client, 200, "ok");
}

TEST_CASE("silent and unfinished connections are evicted for a client with a request", "[server]") {
  TestEventLoop loop;
  http::ServerOptions options;
  options.max_clients = 4;
  FakeEndpoint endpoint(loop, answer_ok, options);
  const std::string start = GENERATE("", "GET / HT");
  std::vector<std::string> closed;
  endpoint.server.set_connection_log([&](std::string_view line) { closed.emplace_back(line); });
  std::vector<std::unique_ptr<FakeClient>> new_clients;
  const auto connect_clients = [&](int client_count) {
    for (int i = 0; i < client_count; ++i) {
      new_clients.push_back(std::make_unique<FakeClient>(loop, endpoint.server.local()));
      new_clients.back()->send(start);
    }
    loop.settle();
  };
  FakeClient served_client(loop, endpoint.server.local());
  served_client.get("/first");
  REQUIRE(loop.until([&] { return served_client.is_complete; }));
  connect_clients(2);
  loop.advance(milliseconds(300));
  connect_clients(1);
  if (start.empty())
    CHECK_FALSE(served_client.is_closed);  // a client that has sent a request before is kept longer
  connect_clients(20);
  CHECK(endpoint.server.client_count() <= 4);
  FakeClient requesting_client(loop, endpoint.server.local());
  requesting_client.get("/real");
  REQUIRE(loop.until([&] { return requesting_client.is_finished(); }));
  CHECK(requesting_client.status == 200);
  CHECK(std::any_of(closed.begin(), closed.end(),
                    [](const std::string& line) { return line.ends_with(" closed reason=evicted"); }));
}

TEST_CASE("the memory of request bodies is limited over all clients", "[server]") {
  TestEventLoop loop;
  http::ServerOptions options;
  options.max_body_bytes = 1000;
  FakeEndpoint endpoint(loop, answer_ok, options);
  FakeClient first(loop, endpoint.server.local()), second(loop, endpoint.server.local());
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
