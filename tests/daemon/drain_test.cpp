// Tests the graceful shutdown of a complete dispatcher: it finishes the requests that it has accepted, then
// stops.
#include <array>
#include <csignal>

#include "tests/fixtures/process_fixture.hpp"

namespace dispatcher::testing {
namespace {

// A running dispatcher.
struct DrainFixture : ProcessFixture {
  DrainFixture(FakeEndpoint::Behavior reads, FakeEndpoint::Behavior writes)
      : ProcessFixture(std::move(reads), std::move(writes)) {
    start();
  }
};

TEST_CASE("a draining dispatcher finishes a request in each of its phases", "[drain]") {
  DrainFixture fixture(silent_endpoint, silent_endpoint);
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

TEST_CASE("a draining dispatcher rejects a request that no endpoint accepts before it stops", "[drain]") {
  DrainFixture fixture([](FakeEndpoint& replica, SlotId client,
                          const FakeEndpoint::ReceivedRequest&) { replica.reject_unprocessed(client, 503); },
                       silent_endpoint);
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
  auto partial = fixture.client();  // sends a part of its request before the drain
  idle->post(platform_headers("a1", "ask"), "{}");
  REQUIRE(fixture.until([&] { return idle->is_complete; }));
  partial->send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + platform_headers("a2", "ask") +
                "Content-Length: 2\r\n\r\n{");
  fixture.settle();
  fixture.dispatcher->drain();
  auto late = fixture.client();  // clients may still connect for 0.4 s
  late->post(platform_headers("a3", "command"), "{}");
  REQUIRE(fixture.until([&] { return late->is_complete; }));
  CHECK(late->status == 200);
  CHECK(late->headers["Connection"] == "close");
  REQUIRE(fixture.until([&] { return idle->is_closed; }));  // the dispatcher no longer accepts connections
  CHECK(idle->close_error == boost::asio::error::eof);
  partial->send("}");
  REQUIRE(fixture.until([&] { return partial->is_complete; }));
  CHECK(partial->status == 200);
  CHECK(partial->headers["Connection"] == "close");
  const std::size_t requests_before = fixture.reader.received.size();
  idle->post(platform_headers("a4", "command"), "{}");  // after the dispatcher's half-close
  partial->close();
  late->close();
  fixture.settle();
  idle->close();
  CHECK(fixture.ends_drained());
  CHECK(fixture.reader.received.size() == requests_before);
}

// Once the client of a request has disconnected, the only work left is to release what a reader reserved for
// it.
TEST_CASE("a draining dispatcher stops only after the reservations of its requests are released", "[drain]") {
  DrainFixture fixture(healthy_reader, silent_endpoint);
  auto client = fixture.client();
  client->post(platform_headers("a1", "command"), "{}");
  REQUIRE(fixture.until([&] { return fixture.writer.pending_clients.size() == 1; }));
  fixture.dispatcher->drain();
  client->close();
  CHECK(fixture.ends_drained());
  CHECK(fixture.reader.count("DELETE", "a1") + fixture.writer.count("DELETE", "a1") >= 1);
}

// A dispatcher whose endpoints and discovery stop answering when `is_partitioned` is set. What is written to
// them then arrives after the partition has ended.
struct PartitionFixture : ProcessFixture {
  PartitionFixture()
      : ProcessFixture(healthy_reader, silent_endpoint), other_writer(network, silent_endpoint) {
    add("w2", other_writer);
    start();
  }
  // Sends a request with enough time left for a retry.
  void post(const std::string& id, const std::string& request_class) {
    requests.push_back(client());
    requests.back()->post(platform_headers(id, request_class, kTimeLeftMs), "{}");
  }
  [[nodiscard]] int writes(const std::string& id) const {
    return writer.count("POST", id) + other_writer.count("POST", id);
  }
  // Ends the connection on which a writer got the request.
  void break_connection(const std::string& id) {
    for (FakeEndpoint* replica : {&writer, &other_writer}) {
      for (std::size_t i = 0; i < replica->pending_clients.size(); ++i)
        if (replica->received[i].id == id) replica->server.abort(replica->pending_clients[i]);
    }
  }
  [[nodiscard]] bool has_answered_all() const {
    return std::ranges::all_of(requests, [](const auto& request) { return request->is_finished(); });
  }
  static constexpr int kTimeLeftMs = 4000;
  FakeEndpoint other_writer;
  std::vector<std::unique_ptr<FakeClient>> requests;
};

TEST_CASE(
    "on SIGTERM in a partition the dispatcher answers all requests, repeats no non-idempotent one, and stops",
    "[drain]") {
  constexpr milliseconds kLateAnswer{500};  // a response this long after the deadline counts as lost
  constexpr seconds kReleaseWait{3};  // how long the process waits for a reservation that can't be released
  constexpr milliseconds kLingering{500};
  PartitionFixture fixture;
  fixture.post("held", "command");  // its reservation is not released
  fixture.post("broken", "command");
  REQUIRE(fixture.until([&] { return fixture.writes("held") == 1 && fixture.writes("broken") == 1; }));
  auto idle = fixture.client();
  auto partial = fixture.client();
  partial->send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{");
  fixture.break_connection("broken");
  fixture.is_partitioned = true;
  fixture.post("waiting", "command");
  fixture.post("idempotent", "ask");
  fixture.settle();
  std::raise(SIGTERM);
  const engine::Time terminated_at = fixture.clients.now;
  fixture.post("late", "command");
  const engine::Time deadline = terminated_at + milliseconds(PartitionFixture::kTimeLeftMs);
  REQUIRE(fixture.until([&] { return fixture.has_answered_all(); }));
  CHECK(fixture.clients.now <= deadline + kLateAnswer);
  for (const auto& request : fixture.requests) CHECK((request->is_closed || request->status >= 500));
  CHECK(fixture.ends_drained());
  CHECK(fixture.clients.now <= deadline + kLateAnswer + kReleaseWait + kLingering);
  fixture.settle();
  CHECK(idle->is_closed);
  CHECK(partial->is_finished());
  fixture.dispatcher.reset();
  fixture.is_partitioned = false;
  fixture.settle();
  CHECK(fixture.reader.count("DELETE", "held") + fixture.writer.count("DELETE", "held") +
            fixture.other_writer.count("DELETE", "held") >=
        1);
  for (const char* id : {"held", "broken", "waiting", "late"}) CHECK(fixture.writes(id) <= 1);
}

}  // namespace
}  // namespace dispatcher::testing
