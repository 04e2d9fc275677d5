// The engine alone: no sockets, a passed-in clock, and an upstream client and a sink that only record calls.
#include <algorithm>

#include "engine_fixture.hpp"

namespace dispatcher::testing {
namespace {

using routing::AttemptStatus;

TEST_CASE("a failed connect does not count against a request's attempts", "[core]") {
  for (const int free_connect_failures : {0, 16}) {
    EngineFixture fixture;
    auto settings = make_settings();
    settings.free_connect_failures = free_connect_failures;
    fixture.engine.apply_settings(std::make_shared<const routing::Settings>(settings));
    fixture.submit("a");
    for (std::size_t i = 0; i < fixture.started.size() && i < 8; ++i)
      fixture.engine.on_attempt_completed(fixture.started[i], {AttemptStatus::kConnectFailed, 0, {}, {}});
    CHECK((fixture.started.size() > 4) == (free_connect_failures > 0));
    CHECK(fixture.started.size() <= 9);
  }
}

TEST_CASE("a request is read, written and streamed, and its state removed", "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.engine.on_events(fixture.started[1], "data: x\n\n");
  fixture.engine.on_attempt_completed(fixture.started[1], {AttemptStatus::kServed, 0, {}, {}});
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "begin", "finish"});
  CHECK(fixture.engine.open_request_count() == 0);
}

// A read may have succeeded just as it was cancelled: its state would be held for ever.
TEST_CASE("a reservation that a cancelled read may have left is released within its limit", "[core]") {
  EngineFixture fixture;
  const SlotId id = fixture.submit("a");
  fixture.engine.on_client_disconnected(id);
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "abandon"});
  fixture.advance(milliseconds(100));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "abandon", "release"});
  CHECK(fixture.engine.open_request_count() == 0);
}

// Reads that broke may leave a state, and the next readers' connections may never come up: seen as `pinned`
// on the standing test's days with a zone cut off, where each such connection put the release off once more.
TEST_CASE("a reservation that a broken read may have left is released while connects fail", "[core]") {
  EngineFixture fixture;
  auto settings = make_settings();
  settings.free_connect_failures = 16;
  fixture.engine.apply_settings(std::make_shared<const routing::Settings>(settings));
  fixture.submit("a");
  fixture.engine.on_attempt_completed(fixture.started[0], {AttemptStatus::kReset, 0, {}, {}});
  fixture.connected = false;
  for (int i = 1; i <= 5; ++i) {
    fixture.advance(milliseconds(50));
    fixture.engine.on_attempt_completed(fixture.started.back(), {AttemptStatus::kConnectFailed, 0, {}, {}});
  }
  CHECK(std::count(fixture.calls.begin(), fixture.calls.end(), "release") == 1);
  const auto released =
      std::find(fixture.calls.begin(), fixture.calls.end(), "release") - fixture.calls.begin();
  CHECK(released <= 3);  // after two connections that failed, 75 ms after the break
}

// A writer that finds no state may merely not reach the reader, which is cut off and still holds it.
TEST_CASE("after a writer found no state, any reservation at a reader is released", "[core]") {
  EngineFixture fixture;
  fixture.submit("a", "command");
  fixture.complete_read(0);
  fixture.advance(milliseconds(2900));
  fixture.engine.on_attempt_completed(
      fixture.started[1], {AttemptStatus::kFull, 0, routing::AttemptEvidence::kStateNotFound, {}});
  fixture.engine.on_attempt_completed(fixture.started.back(), {AttemptStatus::kFull, 0, {}, {}});
  fixture.advance(milliseconds(300));
  CHECK(std::count(fixture.calls.begin(), fixture.calls.end(), "release") == 1);
}

// The call frees all states of a request, wherever they are: also one that a newer read has just left.
TEST_CASE("a release does not remove the reservation of a newer attempt", "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.engine.on_attempt_completed(fixture.started[0], {AttemptStatus::kReset, 0, {}, {}});
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send r"});
  SECTION("that ends before the first one's must be released") {
    fixture.advance(milliseconds(200));
    fixture.complete_read(1);
    fixture.advance(milliseconds(300));
    CHECK(fixture.calls == EngineFixture::Calls{"send r", "send r", "send w"});
  }
  SECTION("whose end ends the calls for the first one's") {
    fixture.advance(milliseconds(300));
    CHECK(fixture.calls == EngineFixture::Calls{"send r", "send r", "release"});
    CHECK(fixture.cancelled_releases == 0);
    fixture.complete_read(1);
    CHECK(fixture.cancelled_releases == 1);
    fixture.advance(milliseconds(300));
    CHECK(fixture.calls == EngineFixture::Calls{"send r", "send r", "release", "send w"});
  }
}

// The incident of 2026-12-02 behind a reader: its link may have fallen silent, and nothing arrived.
TEST_CASE("a reservation is released within its limit while a later attempt is written and unanswered",
          "[core]") {
  EngineFixture fixture;
  fixture.confirms_releases = GENERATE(true, false);
  fixture.submit("a", "ask");
  fixture.engine.on_attempt_completed(fixture.started[0], {AttemptStatus::kReset, 0, {}, {}});
  fixture.engine.on_attempt_written(fixture.started[1], engine::ConnectionUse::kReused);
  const auto releases = [&] { return std::count(fixture.calls.begin(), fixture.calls.end(), "release"); };
  fixture.advance(milliseconds(205));
  CHECK(releases() == 0);
  fixture.advance(milliseconds(10));
  CHECK(releases() == 1);
  fixture.advance(milliseconds(300));  // asked for again until it is confirmed
  CHECK((releases() > 1) == !fixture.confirms_releases);
}

TEST_CASE("a write that ends the release calls of a read that may still run has them made again", "[core]") {
  EngineFixture fixture;
  fixture.submit("a", "ask");
  fixture.connected = false;
  fixture.engine.on_attempt_completed(fixture.started[0], {AttemptStatus::kReset, 0, {}, {}});
  fixture.advance(milliseconds(100));
  const auto releases = [&] { return std::count(fixture.calls.begin(), fixture.calls.end(), "release"); };
  REQUIRE(releases() == 1);
  fixture.connected = true;
  fixture.engine.on_attempt_written(fixture.started[1], engine::ConnectionUse::kNew);
  fixture.advance(milliseconds(205));
  CHECK(releases() == 1);
  fixture.advance(milliseconds(10));
  CHECK(releases() == 2);
}

TEST_CASE("a cancelled read is released until its deadline where its reader may not have noticed", "[core]") {
  EngineFixture fixture;
  fixture.endpoint_silent = GENERATE(false, true);
  const SlotId id = fixture.submit("a");
  fixture.engine.on_client_disconnected(id);
  fixture.advance(milliseconds(400));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "abandon", "release"});
  CHECK(fixture.late_reads_of_release.silent_reader.empty() != fixture.endpoint_silent);
  CHECK((fixture.late_reads_of_release.silent_until > fixture.now + seconds(2)) == fixture.endpoint_silent);
}

TEST_CASE("a state that was released behind an attempt in flight is released again at its end", "[core]") {
  EngineFixture fixture;
  auto settings = make_settings();
  settings.reservation_expires_until_delivery = true;
  fixture.engine.apply_settings(std::make_shared<const routing::Settings>(settings));
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.engine.on_attempt_written(fixture.started[1], engine::ConnectionUse::kReused);
  fixture.advance(milliseconds(250));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "release"});
  fixture.engine.on_attempt_completed(fixture.started[1], {AttemptStatus::kReset, 0, {}, {}});
  fixture.advance(milliseconds(100));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "release", "fail", "release"});
  CHECK(fixture.engine.open_request_count() == 0);
}

TEST_CASE("a client's disconnect while the writer is pending releases its reservation once", "[core]") {
  EngineFixture fixture;
  const SlotId id = fixture.submit("a");
  fixture.complete_read(0);
  fixture.engine.on_client_disconnected(id);
  fixture.advance(milliseconds(400));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "abandon", "release"});
  CHECK(fixture.engine.open_request_count() == 0);
}

TEST_CASE("a client's disconnect during its stream cancels the attempt at once", "[core]") {
  EngineFixture fixture;
  const SlotId id = fixture.submit("a");
  fixture.complete_read(0);
  fixture.engine.on_events(fixture.started[1], "data: x\n\n");
  fixture.engine.on_client_disconnected(id);
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "begin", "abandon"});
  CHECK(fixture.engine.open_request_count() == 0);
}

// A vanished machine says nothing and its connections stay open; its client must not wait for 5 s.
TEST_CASE("an idle stream is aborted in time, one with events never", "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  for (int i = 0; i < 10; ++i) {
    fixture.engine.on_events(fixture.started[1], "data: x\n\n");
    fixture.advance(seconds(4));
  }
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "begin"});
  fixture.advance(milliseconds(900));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "begin", "abandon", "cut"});
}

TEST_CASE("a client that reads slowly pauses the replica's response and is not aborted for it", "[core]") {
  EngineFixture fixture;
  const SlotId id = fixture.submit("a");
  fixture.complete_read(0);
  fixture.has_capacity = false;
  fixture.engine.on_events(fixture.started[1], "data: x\n\n");
  fixture.advance(seconds(10));
  fixture.engine.resume_stream(id);
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "begin", "pause", "resume"});
  fixture.advance(seconds(5));
  CHECK(fixture.calls.back() == "cut");  // from then on the replica is the idle one
}

TEST_CASE("a command whose writer never answers fails at its deadline and is sent once", "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.advance(seconds(3));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "abandon", "release", "fail late"});
}

// What was never written whole can't have run, so its client may safely ask again.
TEST_CASE("a command that its writer never received in full is rejected, with a retry time", "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.delivered = false;
  fixture.advance(seconds(3));
  CHECK(fixture.calls.back() == "refuse with advice");
}

TEST_CASE("a command whose stream breaks is aborted and not retried", "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.engine.on_events(fixture.started[1], "data: x\n\n");
  fixture.engine.on_attempt_completed(fixture.started[1], {AttemptStatus::kReset, 0, {}, {}});
  fixture.advance(seconds(4));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "begin", "cut"});
}

TEST_CASE("a stream without any event is no response to a command, which is not retried", "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.engine.on_attempt_completed(fixture.started[1], {AttemptStatus::kServed, 0, {}, {}});
  fixture.advance(seconds(4));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "release", "fail"});
}

// Reads that failed had used up the attempts; the request was held to its deadline though nothing could serve
// it.
TEST_CASE("a request without attempts left for both stages is rejected at once", "[core]") {
  EngineFixture fixture;
  fixture.submit("a", "ask");
  for (int i = 0; i < 3; ++i)
    fixture.engine.on_attempt_completed(fixture.started.back(), {AttemptStatus::kError, 0, {}, {}});
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send r", "send r", "refuse with advice"});
  CHECK(fixture.engine.open_request_count() == 0);
}

// A release is dropped by the next attempt's write. Where that attempt ended with nothing read, nobody asked
// again, and the state stayed pinned.
TEST_CASE("a possible reservation is released again until a release was confirmed", "[core]") {
  EngineFixture fixture;
  fixture.confirms_releases = false;
  fixture.submit("a", "ask");
  fixture.connected = false;
  fixture.engine.on_attempt_completed(fixture.started[0], {AttemptStatus::kReset, 0, {}, {}});
  fixture.advance(milliseconds(100));
  const auto releases = [&] { return std::count(fixture.calls.begin(), fixture.calls.end(), "release"); };
  CHECK(releases() == 1);
  CHECK(fixture.late_reads_of_release.until >
        fixture.now + seconds(2));  // the read may run on to the deadline
  SECTION("of an attempt that was rejected") {
    fixture.connected = true;
    fixture.advance(milliseconds(20));
    fixture.connected = false;
    fixture.engine.on_attempt_completed(fixture.started[1], {AttemptStatus::kFull, 0, {}, {}});
    fixture.advance(milliseconds(100));
    CHECK(releases() == 2);
  }
  SECTION("unless a first token arrived") {
    fixture.connected = true;
    fixture.complete_read(1);
    fixture.engine.on_events(fixture.started[2], "data: x\n\n");
    fixture.engine.on_attempt_completed(
        fixture.started[2], {AttemptStatus::kReset, 0, routing::AttemptEvidence::kEndpointRunning, {}});
    fixture.advance(seconds(4));
    CHECK(releases() == 1);
  }
}

TEST_CASE("a read that the dispatcher cancelled leaves no later reservation", "[core]") {
  EngineFixture fixture;
  const SlotId id = fixture.submit("a");
  fixture.engine.on_client_disconnected(id);
  fixture.advance(milliseconds(400));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "abandon", "release"});
  CHECK(fixture.late_reads_of_release.until == engine::Time{});
}

TEST_CASE("a reservation that the router tracks is not released because of a broken read", "[core]") {
  EngineFixture fixture;
  fixture.submit("a", "ask");
  fixture.engine.on_attempt_completed(fixture.started[0], {AttemptStatus::kReset, 0, {}, {}});
  fixture.complete_read(1);
  fixture.connected = false;
  fixture.engine.on_attempt_completed(
      fixture.started[2], {AttemptStatus::kFull, 0, {}, {}});  // the writer is full: the state waits
  fixture.advance(milliseconds(100));
  CHECK(std::count(fixture.calls.begin(), fixture.calls.end(), "release") == 0);
  fixture.engine.on_attempt_completed(
      fixture.started[3], {AttemptStatus::kFull, 0, {}, {}});  // no attempt left: the router lets go
  CHECK(std::count(fixture.calls.begin(), fixture.calls.end(), "release") == 1);
  CHECK(fixture.late_reads_of_release.until > fixture.now);  // ... and what broke may still run
}

TEST_CASE("a client's disconnect ends an attempt that waits for its connection, cancellable or not",
          "[core]") {
  EngineFixture fixture;
  auto settings = make_settings();
  settings.may_cancel = GENERATE(false, true);
  fixture.engine.apply_settings(std::make_shared<const routing::Settings>(settings));
  fixture.connected = fixture.delivered = false;
  const SlotId id = fixture.submit("a");
  fixture.engine.on_client_disconnected(id);
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "abandon"});
  CHECK(fixture.engine.open_request_count() == 0);
  fixture.advance(seconds(4));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "abandon"});
}

// Partly written, it can't have run: no evidence about its endpoint's health, and no reservation.
TEST_CASE("a request partly written when its client disconnects leaves no reservation", "[core]") {
  EngineFixture fixture;
  fixture.delivered = false;
  const SlotId id = fixture.submit("a");
  fixture.engine.on_client_disconnected(id);
  fixture.advance(milliseconds(400));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "abandon"});
  CHECK(fixture.engine.open_request_count() == 0);
}

// Its first byte ended the calls for the read that broke, which may still run.
TEST_CASE("an attempt that timed out partly written has its reservation released repeatedly", "[core]") {
  EngineFixture fixture;
  auto settings = make_settings();
  settings.may_cancel = false;
  fixture.engine.apply_settings(std::make_shared<const routing::Settings>(settings));
  fixture.submit("a", "ask");
  fixture.connected = false;
  fixture.engine.on_attempt_completed(fixture.started[0], {AttemptStatus::kReset, 0, {}, {}});
  fixture.advance(milliseconds(100));
  const auto releases = [&] { return std::count(fixture.calls.begin(), fixture.calls.end(), "release"); };
  REQUIRE(releases() == 1);
  fixture.connected = true;
  fixture.delivered = false;
  fixture.advance(seconds(3) - milliseconds(100));
  CHECK(releases() == 1);
  fixture.advance(milliseconds(200));
  CHECK(fixture.engine.open_request_count() == 0);
  CHECK(releases() == 2);
}

TEST_CASE("an attempt whose client has disconnected is not needed, and ends its request unanswered",
          "[core]") {
  EngineFixture fixture;
  const SlotId id = fixture.submit("a");
  CHECK(fixture.engine.is_still_needed(fixture.started[0]));
  CHECK_FALSE(fixture.engine.is_still_needed({id, 7}));
  fixture.client_connected = false;
  CHECK_FALSE(fixture.engine.is_still_needed(fixture.started[0]));
  fixture.connected = false;
  fixture.engine.on_attempt_completed(fixture.started[0], {AttemptStatus::kNeverSent, 0, {}, {}});
  CHECK(fixture.engine.open_request_count() == 0);
  CHECK(std::count(fixture.calls.begin(), fixture.calls.end(), "refuse") == 0);
  CHECK_FALSE(fixture.engine.is_still_needed(fixture.started[0]));
  fixture.engine.on_client_disconnected(id);  // the front's own word comes later
  fixture.advance(seconds(4));
  CHECK(std::count(fixture.calls.begin(), fixture.calls.end(), "send r") == 1);
}

TEST_CASE("a first token in the tick of the deadline starts the stream, one after it does not", "[core]") {
  EngineFixture fixture;
  const bool token_first = GENERATE(true, false);
  fixture.submit_and_reach_deadline();
  if (token_first) fixture.engine.on_events(fixture.started[1], "data: x\n\n");
  fixture.timers.run(fixture.now);
  if (!token_first) fixture.engine.on_events(fixture.started[1], "data: x\n\n");
  fixture.advance(milliseconds(200));
  CHECK(fixture.calls == (token_first
                              ? EngineFixture::Calls{"send r", "send w", "begin"}
                              : EngineFixture::Calls{"send r", "send w", "abandon", "release", "fail late"}));
}

TEST_CASE("a rejection in the tick of the deadline is not followed by another attempt", "[core]") {
  EngineFixture fixture;
  const bool rejection_first = GENERATE(true, false);
  fixture.submit_and_reach_deadline();
  if (rejection_first)
    fixture.engine.on_attempt_completed(fixture.started[1], {AttemptStatus::kFull, 0, {}, {}});
  fixture.timers.run(fixture.now);
  if (!rejection_first)
    fixture.engine.on_attempt_completed(fixture.started[1], {AttemptStatus::kFull, 0, {}, {}});
  fixture.advance(milliseconds(400));
  CHECK(fixture.started.size() == 2);
  CHECK(fixture.engine.open_request_count() == 0);
  const auto ends = std::count_if(fixture.calls.begin(), fixture.calls.end(), [](const std::string& call) {
    return call.starts_with("refuse") || call.starts_with("fail");
  });
  CHECK(ends == 1);
}

TEST_CASE("results of completed attempts change nothing", "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.complete_read(0);
  fixture.engine.on_events({{9, 9}, 0}, "data: x\n\n");
  fixture.engine.on_attempt_completed({fixture.started[0].request, 7}, {AttemptStatus::kServed, 0, {}, {}});
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w"});
}

}  // namespace
}  // namespace dispatcher::testing
