// When pooled connections to endpoints are reused, closed and dropped.
#include <set>

#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

// Writing to a connection that the endpoint has closed would end with a reset, after which a non-idempotent
// request can't be retried.
TEST_CASE("a pooled connection is checked for closure before it is reused", "[pool]") {
  Fixture fixture(healthy_reader, healthy_writer);
  auto client = fixture.platform_client();
  for (int i = 0; i < 6; ++i) {
    client->is_complete = false;
    client->post(platform_headers("a" + std::to_string(i), "command"), kPlatformBody);
    REQUIRE(fixture.until([&] { return client->is_complete; }));
    CHECK(client->status == 200);
    fixture.advance(milliseconds(60));  // after this time the connection would be reused
    for (auto& endpoint : fixture.fake_endpoints) endpoint->server.close_idle();
  }
  CHECK(fixture.request_count("POST", Role::kWriter) == 6);
}

TEST_CASE("idle connections are pooled, and closed well before the endpoint closes them", "[pool]") {
  Fixture fixture(healthy_reader, healthy_writer);
  std::vector<std::string> closed;
  fixture.pool.set_connection_log(
      upstream::ConnectionLog([&](std::string_view line) { closed.emplace_back(line); }));
  auto client = fixture.post("a1", "command");
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(fixture.pool.open_connections() == 2);
  fixture.now += seconds(8);
  fixture.settle();
  fixture.timers.run(fixture.now);
  CHECK(fixture.pool.open_connections() == 2);
  fixture.now += seconds(2);
  fixture.timers.run(fixture.now);
  CHECK(fixture.pool.open_connections() == 0);
  REQUIRE(closed.size() == 2);
  for (const std::string& line : closed) CHECK(line.ends_with(" closed reason=idle-timeout"));
}

TEST_CASE("a non-idempotent request whose writers refuse connections is rejected as not run", "[pool]") {
  Fixture fixture(healthy_reader, healthy_writer);
  for (const std::size_t index : {0U, 1U}) fixture.writer(index).server.stop_accepting();
  auto client = fixture.post("a1", "command");
  for (int i = 0; i < 150 && !client->is_finished(); ++i) fixture.advance(milliseconds(20));
  CHECK(client->status == 503);
  CHECK(fixture.until([&] {
    return fixture.request_count("DELETE", Role::kReader) == 1;
  }));  // the read's reservation is released
}

// An endpoint whose machine is lost does not answer. The call must reach a running endpoint within the
// reservation limit.
TEST_CASE("a release is sent to further endpoints until one accepts it", "[pool]") {
  Fixture fixture(silent_endpoint, healthy_writer);
  auto client = fixture.post("a1", "ask");
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", Role::kReader) == 1; }));
  for (const std::size_t index : {0U, 1U, 2U}) fixture.fake_endpoints[index]->server.stop_accepting();
  client->close();
  fixture.settle();
  fixture.advance(milliseconds(400));
  const auto accepted = [&] { return fixture.writer(1).count("DELETE", "a1"); };
  CHECK(accepted() >= 1);
  // The reader may not have noticed that its attempt was cancelled, and may leave a reservation until its
  // deadline.
  const engine::Duration deadline = seconds(6);
  int before = accepted();
  for (engine::Duration elapsed = milliseconds(400); elapsed < deadline; elapsed += milliseconds(300)) {
    fixture.advance(milliseconds(300));
    CHECK(accepted() > before);
    before = accepted();
  }
  fixture.advance(milliseconds(600));
  CHECK(fixture.pool.pending_releases() == 0);
  const int at_end = accepted();
  fixture.advance(seconds(1));
  CHECK(accepted() == at_end);
}

// When a machine is lost, its open connections stay open and silent. A new connection is never established,
// which proves that a non-idempotent request did not run. On a pooled one, the client would wait until its
// deadline.
TEST_CASE("an endpoint with an overdue response gets no non-idempotent request on a pooled connection",
          "[pool]") {
  bool is_machine_lost = false;
  Fixture fixture(healthy_reader, [&](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
    if (!is_machine_lost) healthy_writer(endpoint, client, request);
  });
  fixture.engine.update_endpoints(
      {routing::ListKind::kDelta, {make_endpoint("w2", routing::EndpointState::kRemoved)}});
  auto first = fixture.post("a1", "ask");
  auto second = fixture.post("a2", "ask");
  auto third = fixture.platform_client();
  REQUIRE(fixture.until([&] { return first->is_complete && second->is_complete; }));
  fixture.advance(milliseconds(60));  // pooled connections may be reused
  is_machine_lost = true;
  fixture.writer(0).server.stop_accepting();
  first->post(platform_headers("a3", "ask"), kPlatformBody);
  REQUIRE(fixture.until([&] { return fixture.writer(0).count("POST", "a3") == 1; }));
  fixture.advance(milliseconds(500));
  third->post(platform_headers("a4", "command"), kPlatformBody);
  for (int i = 0; i < 50 && !third->is_finished(); ++i) fixture.advance(milliseconds(20));
  CHECK(third->status == 503);  // rejected, as it never ran
  CHECK(fixture.writer(0).count("POST", "a4") == 0);
}

TEST_CASE("new connections are used after a pooled one is reset at its next request", "[pool]") {
  std::set<SlotId> used;
  Fixture fixture(healthy_reader, [&](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
    const bool is_first_request = used.insert(client).second;
    if (!is_first_request) return endpoint.server.abort(client);
    healthy_writer(endpoint, client, request);
  });
  fixture.engine.update_endpoints(
      {routing::ListKind::kDelta, {make_endpoint("w2", routing::EndpointState::kRemoved)}});
  auto first = fixture.post("a1", "ask");
  auto second = fixture.post("a2", "ask");
  REQUIRE(fixture.until([&] { return first->is_complete && second->is_complete; }));
  fixture.advance(milliseconds(60));  // pooled connections may be reused
  const auto post_non_idempotent = [&](const std::string& id) {
    first->is_complete = false;
    first->post(platform_headers(id, "command"), kPlatformBody);
    REQUIRE(fixture.until([&] { return first->is_finished(); }));
    return first->status;
  };
  CHECK(post_non_idempotent("a3") == 502);
  CHECK(post_non_idempotent("a4") == 200);
}

TEST_CASE("the pool's state of removed endpoints is dropped", "[pool]") {
  Fixture fixture(healthy_reader, healthy_writer);
  for (int i = 0; i < 100; ++i) {
    const std::string name = "n" + std::to_string(i);
    fixture.pool.update_endpoints({{name, fixture.writer().server.local(), true}},
                                  upstream::ListScope::kChanges);
    fixture.pool.update_endpoints({{name, fixture.writer().server.local(), false, true}},
                                  upstream::ListScope::kChanges);
  }
  CHECK(fixture.pool.known_endpoints() == 4);
  fixture.pool.update_endpoints({}, upstream::ListScope::kComplete);
  CHECK(fixture.pool.known_endpoints() == 0);
}

TEST_CASE("at the connection limit the oldest idle connection is evicted", "[pool]") {
  Fixture fixture(healthy_reader, healthy_writer);
  auto client = fixture.post("a1", "ask");
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(fixture.pool.open_connections() == 2);
  CHECK(fixture.pool.evict_idle());
  CHECK(fixture.pool.evict_idle());
  CHECK_FALSE(fixture.pool.evict_idle());
  CHECK(fixture.pool.open_connections() == 0);
}

}  // namespace
}  // namespace dispatcher::testing
