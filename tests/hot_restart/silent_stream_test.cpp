// Tests for how long the client of a stream that has become silent waits while processes are replaced.
#include "tests/fixtures/hot_restart_processes.hpp"

namespace dispatcher::testing {
namespace {

constexpr engine::Duration kClientWait = seconds(5);  // the limit after a running endpoint's last event

// A writer's behavior: the stream stays open after its first event.
void begin_stream(FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
  endpoint.stream_words(client, {"one"}, StreamEnd::kOpen);
}

// A dispatcher with one stream, whose endpoint has just sent its first event.
struct SilentStreamFixture : HotRestartProcesses {
  SilentStreamFixture() : HotRestartProcesses(healthy_reader, begin_stream) {
    start();
    client = post("a1", "command");
    REQUIRE(until([&] { return client->body.find("one") != std::string::npos; }));
    last_event_at = environment.now;
  }
  // Replaces the process that serves, which hands its stream over and ends.
  void replace() {
    DispatcherProcess& old = *processes.back();
    start();
    terminate(old);
    REQUIRE(until([&] { return old.has_ended(); }));
    REQUIRE(old.logged("upgrade: 1 streams handed over"));
  }
  void run_until_silent_for(engine::Duration time) { run_for(last_event_at + time - environment.now); }

  std::unique_ptr<FakeClient> client;
  engine::Time last_event_at{};
};

// Guards against a client that waits for a stream that hangs, for as long again after each hot restart.
TEST_CASE("the time for which a stream is silent counts on through hot restarts", "[upgrade][idle]") {
  const int restarts = GENERATE(1, 2, 3);
  CAPTURE(restarts);
  SilentStreamFixture fixture;
  for (int i = 1; i <= restarts; ++i) {
    fixture.run_until_silent_for(seconds(i));
    fixture.replace();
  }
  REQUIRE(fixture.until([&] { return fixture.client->is_closed; }));
  CHECK(fixture.environment.now - fixture.last_event_at <= kClientWait);
  CHECK_FALSE(fixture.client->is_complete);
}

// Guards against the same where the system clock was adjusted between the starts of the two processes.
TEST_CASE("an adjustment of the system clock does not change how long a stream may be silent",
          "[upgrade][idle]") {
  SilentStreamFixture fixture;
  fixture.clock_offset = GENERATE(seconds(3600), seconds(-3600));
  fixture.run_until_silent_for(seconds(2));
  fixture.replace();
  fixture.run_until_silent_for(milliseconds(4800));
  CHECK_FALSE(fixture.client->is_closed);
  REQUIRE(fixture.until([&] { return fixture.client->is_closed; }));
  CHECK(fixture.environment.now - fixture.last_event_at <= kClientWait);
}

// Guards against a stream that is cut at the successor although its events come in time.
TEST_CASE("a stream that goes on in time is whole however often it is handed over", "[upgrade][idle]") {
  SilentStreamFixture fixture;
  constexpr int kRestarts = 3;
  for (int i = 0; i < kRestarts; ++i) {
    fixture.run_until_silent_for(seconds(4));
    fixture.replace();
    fixture.run_until_silent_for(milliseconds(4800));
    fixture.writer.server.write_events(fixture.writer.pending_clients.back(), "data: more\n\n");
    fixture.last_event_at = fixture.environment.now;
  }
  fixture.writer.server.end_response(fixture.writer.pending_clients.back());
  REQUIRE(fixture.until([&] { return fixture.client->is_finished(); }));
  CHECK(fixture.client->is_complete);
}

}  // namespace
}  // namespace dispatcher::testing
