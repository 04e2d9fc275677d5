// Tests a process that hands its streams over to a successor that is held up, stops reading or ends: no
// stream may be lost between the two.
#include "hot_restart_fixture.hpp"
#include "raw_socket.hpp"
#include "tests/fixtures/process_fixture.hpp"

namespace dispatcher::testing {
namespace {

// A writer's behavior: the stream stays open after its first event.
void begin_stream(FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
  endpoint.stream_words(client, {"one"}, StreamEnd::kOpen);
}

// A dispatcher with a running stream. Its successor is a raw socket, which receives only when the test does.
struct SlowSuccessorFixture : ProcessFixture {
  SlowSuccessorFixture() : ProcessFixture(healthy_reader, begin_stream) {
    config.name = "n1";
    config.shared_directory = folder.path;
    start();
    streaming_client = client();
    streaming_client->post(platform_headers("a1", "command"), kPlatformBody);
    REQUIRE(until([&] { return streaming_client->body.find("one") != std::string::npos; }));
    successor.emplace(RawSocket::connect(folder / "bitternferry-n1.sock"));
    REQUIRE(next_packet().text.starts_with(R"({"estate":true)"));
    successor->send(R"({"serving":true})");
    settle();
  }
  Packet next_packet() {
    std::optional<Packet> packet;
    REQUIRE(until([&] {
      packet = successor->receive();
      return packet.has_value();
    }));
    return *packet;
  }
  // Runs all event loops for a time in which a draining process without work would end.
  void run_for_a_while() {
    constexpr int kSteps = 500;
    for (int i = 0; i < kSteps; ++i) step();
  }
  [[nodiscard]] bool has_ended() { return loop.io().stopped(); }
  // Ends the stream at its writer, and returns whether its client gets it to its end.
  bool finishes_stream() {
    writer.server.write_events(writer.pending_clients.back(), "data: [DONE]\n\n");
    writer.server.end_response(writer.pending_clients.back());
    return until([&] { return streaming_client->is_finished(); }) && streaming_client->is_complete &&
           streaming_client->body.find("[DONE]") != std::string::npos;
  }

  TemporaryFolder folder;
  std::optional<RawSocket> successor;  // reset() ends it
  std::unique_ptr<FakeClient> streaming_client;
};

// Guards against streams that a successor of the previous release loses: it drops what still waits for it
// when the old process ends.
TEST_CASE("a draining process does not end before its successor has received every stream", "[upgrade]") {
  SlowSuccessorFixture fixture;
  fixture.dispatcher->drain();
  fixture.run_for_a_while();
  CHECK_FALSE(fixture.has_ended());
  std::size_t sockets = 0;
  while (sockets == 0) sockets = fixture.next_packet().descriptors;
  CHECK(sockets == 2);
  while (fixture.successor->receive()) {
  }
  CHECK(fixture.ends_drained());
  CHECK(has_entry(fixture.logs, "upgrade: 1 streams handed over"));
}

// Guards against streams that the old process gives up in the moment in which its successor ends: one of
// these steps is the one in which it sends the stream to a closed connection.
TEST_CASE("a stream continues at the draining process if its successor ends before it is sent", "[upgrade]") {
  constexpr int kMaxSteps = 100;
  bool is_sent = false;
  int steps = 0;
  for (; steps < kMaxSteps && !is_sent; ++steps) {
    SlowSuccessorFixture fixture;
    fixture.dispatcher->drain();
    for (int i = 0; i < steps; ++i) fixture.step();
    while (const auto packet = fixture.successor->receive()) is_sent = is_sent || packet->descriptors > 0;
    if (is_sent) break;  // it belongs to the successor
    fixture.successor.reset();
    INFO("steps before the successor's end: " << steps);
    CHECK(fixture.finishes_stream());
    CHECK(fixture.ends_drained());
    CHECK(has_entry(fixture.logs, "upgrade: the successor has ended"));
  }
  CHECK(is_sent);
  CHECK(steps > 1);
}

}  // namespace
}  // namespace dispatcher::testing
