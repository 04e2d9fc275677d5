// The remaining time that an attempt passes to its endpoint. It is what is left to the client when the
// request is written, not when the attempt was started. A request whose time is over is not written.
#include "attempt_endings_fixture.hpp"

namespace dispatcher::testing {
namespace {

// Returns whether each attempt passed a remaining time to its endpoint that is positive and no more than was
// left until the deadline.
bool passes_time_left(const Fixture& fixture, engine::Time deadline) {
  return std::ranges::all_of(fixture.fake_endpoints, [&](const auto& endpoint) {
    return std::ranges::all_of(endpoint->received, [&](const ReceivedRequest& request) {
      if (request.method != "POST") return true;
      return request.time_left > milliseconds(0) && request.time_left <= deadline - request.received_at;
    });
  });
}

// Runs one handler at a time until the condition holds, so that the loop can stop between the start of a
// connection and its establishment. Returns whether the condition holds.
template <class Condition>
bool run_handlers_until(Fixture& fixture, Condition condition) {
  constexpr int kMaxHandlers = 1000;
  for (int i = 0; i < kMaxHandlers && !condition(); ++i) {
    fixture.io.restart();
    fixture.io.run_one_for(milliseconds(1));
  }
  return condition();
}

TEST_CASE("a request on a connection that is established late passes the time that is left then",
          "[time_left]") {
  const auto setup_time = GENERATE(milliseconds(0), milliseconds(200), milliseconds(900));
  DirectFixture fixture(silent_endpoint, silent_endpoint);
  fixture.submit("a1");
  const engine::Time deadline = fixture.now + seconds(6);
  fixture.now += setup_time;  // nothing has run: the connection is not established yet
  fixture.settle();
  REQUIRE(fixture.posts() == 1);
  CHECK(passes_time_left(fixture, deadline));
}

TEST_CASE("a retry passes less remaining time to its endpoint than the attempt before it", "[time_left]") {
  DirectFixture fixture(silent_endpoint, silent_endpoint);
  fixture.submit("a1");
  const engine::Time deadline = fixture.now + seconds(6);
  const auto reject_reads = [&] {
    for (const std::size_t index : {0U, 1U})
      for (const SlotId client : std::exchange(fixture.reader(index).pending_clients, {}))
        fixture.reader(index).reject_unprocessed(client, 503);
  };
  REQUIRE(fixture.until([&] { return fixture.posts() == 1; }));
  reject_reads();
  REQUIRE(run_handlers_until(fixture, [&] { return fixture.pool.open_connections() == 2; }));
  fixture.now += milliseconds(200);  // the retry's connection is not established yet
  fixture.settle();
  REQUIRE(fixture.posts() == 2);
  CHECK(passes_time_left(fixture, deadline));
}

// If the event loop was delayed, the connection's event may be handled before the deadline's timer.
TEST_CASE("a request whose time is over is not written, and its client gets one answer", "[time_left]") {
  const auto time_left = GENERATE(std::chrono::microseconds(999), std::chrono::microseconds(0),
                                  std::chrono::microseconds(-100'000));
  DirectFixture fixture(silent_endpoint, silent_endpoint);
  fixture.submit("a1");
  fixture.now += seconds(6) - time_left;
  fixture.settle();
  CHECK(fixture.posts() == 0);
  fixture.advance(milliseconds(400));
  CHECK(fixture.posts() == 0);
  CHECK(fixture.count("refuse") + fixture.count("fail") == 1);
  CHECK(fixture.calls.size() == 1);
  CHECK(fixture.engine.open_request_count() == 0);
}

TEST_CASE("a request with very little time left is answered in time, and passes no more than that",
          "[time_left]") {
  const int time_left_ms = GENERATE(0, 1, 5, 20, 50, 100, 150, 300);
  const auto setup_time = GENERATE(milliseconds(0), milliseconds(4), milliseconds(60));
  const auto endpoint = GENERATE(silent_endpoint, reject_as_full);
  constexpr milliseconds kMaxAnswerDelay{500};  // a later answer counts as lost
  Fixture fixture(endpoint, endpoint);
  auto client = fixture.platform_client();
  client->post(platform_headers("a1", "ask", time_left_ms), kPlatformBody);
  const engine::Time deadline = fixture.now + milliseconds(time_left_ms);
  REQUIRE(run_handlers_until(fixture,
                             [&] { return client->is_finished() || fixture.pool.open_connections() > 0; }));
  fixture.now += setup_time;
  fixture.settle();
  while (!client->is_finished() && fixture.now < deadline + kMaxAnswerDelay) fixture.advance(milliseconds(5));
  CHECK(client->is_complete);
  CHECK(client->status >= 500);
  CHECK(passes_time_left(fixture, deadline));
}

}  // namespace
}  // namespace dispatcher::testing
