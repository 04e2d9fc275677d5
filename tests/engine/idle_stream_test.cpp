// Tests for how long the engine waits for the next event of a stream. An endpoint may take up to 5 s for it,
// and a client may be left waiting for 5 s, which leaves only the time of a hold-up of the process between.
#include <algorithm>

#include "engine_fixture.hpp"

namespace dispatcher::testing {
namespace {

// The time after a running endpoint's last event for which its client may be left waiting.
constexpr engine::Duration kClientWait = seconds(5);
// The longest time that a process may be held up between reading its clock and writing.
constexpr engine::Duration kHoldUp = milliseconds(150);

// An engine with one stream that has had its first event.
struct StreamFixture : EngineFixture {
  StreamFixture() {
    submit("a");
    complete_read(0);
    send_event();
  }
  void send_event() { engine.on_events(started[1], "data: x\n\n"); }
  [[nodiscard]] bool is_cut() const { return std::ranges::count(calls, "cut") > 0; }
};

// Guards against streams that are cut while their slow endpoint is about to go on.
TEST_CASE("a stream whose events come as late as a client may wait for them is not cut", "[core][idle]") {
  StreamFixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.advance(kClientWait - kHoldUp - milliseconds(5));
    CHECK_FALSE(fixture.is_cut());
    fixture.send_event();
  }
}

// Guards against clients that are left waiting for an endpoint that hangs, also if the process is held up
// when the stream's time is over.
TEST_CASE("a stream without events is cut before its client has waited too long", "[core][idle]") {
  StreamFixture fixture;
  fixture.advance(kClientWait - kHoldUp);
  CHECK(fixture.is_cut());
}

// A writer's behavior: the stream stays open after its first event.
void begin_stream(FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
  endpoint.stream_words(client, {"one"}, StreamEnd::kOpen);
}

// Guards against a stream that is cut by a process that was held up, although its next event has arrived.
TEST_CASE("a stream whose next event waits to be read is not cut", "[core][idle]") {
  Fixture fixture(healthy_reader, begin_stream);
  auto client = fixture.post("a1", "command");
  REQUIRE(fixture.until([&] { return client->body.find("one") != std::string::npos; }));
  fixture.advance(kClientWait - 2 * kHoldUp);
  FakeEndpoint& writer = fixture.writer(fixture.writer(0).pending_clients.empty() ? 1 : 0);
  writer.server.write_events(writer.pending_clients.back(), "data: two\n\n");
  fixture.now += 2 * kHoldUp;
  fixture.timers.run(fixture.now);  // the timers run before anything is read
  fixture.settle();
  CHECK(client->body.find("two") != std::string::npos);
  CHECK_FALSE(client->is_closed);
  fixture.advance(kClientWait);  // the endpoint is silent
  CHECK(client->is_closed);
}

}  // namespace
}  // namespace dispatcher::testing
