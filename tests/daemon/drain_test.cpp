// The graceful shutdown of a complete dispatcher: it finishes the requests it has accepted, and ends by
// itself.
#include <array>
#include <boost/asio/write.hpp>

#include "tests/fixtures/daemon_fixture.hpp"

namespace dispatcher::testing {
namespace {

// A dispatcher on its own event loop and clock, with stand-in replicas on the test's.
struct DrainFixture {
  DrainFixture(FakeReplica::Behavior reads, FakeReplica::Behavior writes)
      : reader(work, std::move(reads)), writer(work, std::move(writes)) {
    config.initial_endpoints.scope = upstream::ListScope::kComplete;
    config.initial_endpoints.list.kind = routing::ListKind::kFull;
    add("r", "reader", reader.server.local());
    add("w", "writer", writer.server.local());
    dispatcher.emplace(loop, config, daemon::FeatureFiles{},
                       [this](std::string_view entry) { logs.emplace_back(entry); });
    dispatcher->start();
  }
  void add(const std::string& endpoint, const std::string& kind, const net::tcp::endpoint& at) {
    config.initial_endpoints.list.entries.push_back(
        {endpoint, "here", kind, 0, routing::EndpointState::kReady, 1, {}});
    config.initial_endpoints.addresses.push_back({endpoint, at, true, false, "here", 0});
  }
  // Runs both sides until the condition holds; the timeout only ends a test that has failed.
  template <class Condition>
  bool until(Condition condition) {
    const auto timeout = std::chrono::steady_clock::now() + seconds(20);
    while (std::chrono::steady_clock::now() < timeout) {
      work.now += milliseconds(1);
      work.timers.run(work.now);
      work.io.restart();
      const bool busy = work.io.poll() > 0;
      if (!loop.io().stopped() && loop.io().poll() == 0 && !busy)
        std::this_thread::sleep_for(std::chrono::microseconds(200));
      if (condition()) return true;
    }
    return false;
  }
  // Waits for the dispatcher to end by itself.
  bool ends_drained() {
    return until([&] { return loop.io().stopped(); }) && logs.back() == "drained";
  }
  std::unique_ptr<FakeClient> client() { return std::make_unique<FakeClient>(work, dispatcher->address()); }
  TestEventLoop work;
  daemon::Loop loop;
  daemon::Config config = make_daemon_config();
  std::vector<std::string> logs;
  FakeReplica reader;
  FakeReplica writer;
  std::optional<daemon::Dispatcher> dispatcher;
};

TEST_CASE("a draining dispatcher finishes a request in each of its phases", "[drain]") {
  DrainFixture fixture(silent_replica, silent_replica);
  auto client = fixture.client();
  client->post(platform_headers("a1", "command"), "{}");
  REQUIRE(fixture.until([&] { return fixture.reader.pending_clients.size() == 1; }));
  const auto answer_read = [&] {
    fixture.reader.respond(fixture.reader.pending_clients[0], 202, R"({"cached_tokens":0})");
  };
  const auto at_writer = [&] { return fixture.writer.pending_clients.size() == 1; };
  SECTION("during its read") {
    fixture.dispatcher->drain();
    answer_read();
    REQUIRE(fixture.until(at_writer));
    fixture.writer.stream_words(fixture.writer.pending_clients[0], {"yes"});
  }
  SECTION("between read and write") {
    answer_read();
    fixture.dispatcher->drain();
    REQUIRE(fixture.until(at_writer));
    fixture.writer.stream_words(fixture.writer.pending_clients[0], {"yes"});
  }
  SECTION("during its stream") {
    answer_read();
    REQUIRE(fixture.until(at_writer));
    fixture.writer.stream_words(fixture.writer.pending_clients[0], {"yes"}, StreamEnd::kOpen);
    REQUIRE(fixture.until([&] { return client->body.find("yes") != std::string::npos; }));
    fixture.dispatcher->drain();
    fixture.writer.server.write_events(fixture.writer.pending_clients[0], "data: [DONE]\n\n");
    fixture.writer.server.end_response(fixture.writer.pending_clients[0]);
  }
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(client->status == 200);
  CHECK(client->body.find("[DONE]") != std::string::npos);
  CHECK(fixture.ends_drained());
  CHECK(fixture.writer.count("POST", "a1") == 1);
}

TEST_CASE("a draining dispatcher rejects a request that no replica takes before it ends", "[drain]") {
  DrainFixture fixture([](FakeReplica& replica, SlotId client,
                          const FakeReplica::ReceivedRequest&) { replica.reject_unprocessed(client, 503); },
                       silent_replica);
  auto client = fixture.client();
  client->post(platform_headers("a1", "ask", 1000), "{}");
  REQUIRE(fixture.until([&] { return fixture.reader.count("POST", "a1") > 0; }));
  fixture.dispatcher->drain();
  REQUIRE(fixture.until([&] { return client->is_finished(); }));
  CHECK(client->status == 503);
  CHECK(fixture.ends_drained());
}

TEST_CASE("a draining dispatcher answers late requests, and closes idle connections gracefully", "[drain]") {
  DrainFixture fixture(healthy_reader, healthy_writer);
  auto idle = fixture.client();
  auto partial = fixture.client();  // has sent a part of its request
  idle->post(platform_headers("a1", "ask"), "{}");
  REQUIRE(fixture.until([&] { return idle->is_complete; }));
  partial->send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + platform_headers("a2", "ask") +
                "Content-Length: 2\r\n\r\n{");
  fixture.until([&] { return fixture.work.io.poll() == 0; });
  fixture.dispatcher->drain();
  auto late = fixture.client();  // connections still come for 0.4 s
  late->post(platform_headers("a3", "command"), "{}");
  REQUIRE(fixture.until([&] { return late->is_complete; }));
  CHECK(late->status == 200);
  CHECK(late->headers["Connection"] == "close");
  REQUIRE(fixture.until([&] { return idle->is_closed; }));  // accepting is over
  CHECK(idle->close_error == boost::asio::error::eof);
  partial->send("}");
  REQUIRE(fixture.until([&] { return partial->is_complete; }));
  CHECK(partial->status == 200);
  CHECK(partial->headers["Connection"] == "close");
  const std::size_t requests_before = fixture.reader.received.size();
  idle->post(platform_headers("a4", "command"), "{}");  // after the half-close
  partial->close();
  late->close();
  fixture.until([&] { return fixture.work.io.poll() == 0; });
  idle->close();
  CHECK(fixture.ends_drained());
  CHECK(fixture.reader.received.size() == requests_before);
}

// A request whose client has disconnected leaves nothing to do but the release of what a reader reserved for
// it.
TEST_CASE("a draining dispatcher ends only once the reservations of its requests are released", "[drain]") {
  DrainFixture fixture(healthy_reader, silent_replica);
  auto client = fixture.client();
  client->post(platform_headers("a1", "command"), "{}");
  REQUIRE(fixture.until([&] { return fixture.writer.pending_clients.size() == 1; }));
  fixture.dispatcher->drain();
  client->close();
  CHECK(fixture.ends_drained());
  CHECK(fixture.reader.count("DELETE", "a1") + fixture.writer.count("DELETE", "a1") >= 1);
}

}  // namespace
}  // namespace dispatcher::testing
