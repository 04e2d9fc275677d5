// Tests of the engine alone: without sockets, with a simulated clock, and with an upstream client and a sink
// that only record calls.
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

TEST_CASE("a request is read, written and streamed, and then removed from the engine", "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.engine.on_events(fixture.started[1], "data: x\n\n");
  fixture.engine.on_attempt_completed(fixture.started[1], {AttemptStatus::kServed, 0, {}, {}});
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "begin", "finish"});
  CHECK(fixture.engine.open_request_count() == 0);
}

// A read may succeed just as it is cancelled. Without a release, its state would be held forever.
TEST_CASE("a reservation that a cancelled read may have left is released within its limit", "[core]") {
  EngineFixture fixture;
  const SlotId id = fixture.submit("a");
  fixture.engine.on_client_disconnected(id);
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "abandon"});
  fixture.advance(milliseconds(100));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "abandon", "release"});
  CHECK(fixture.engine.open_request_count() == 0);
}

// A read whose connection breaks may leave state, and the connections to the next readers may never be
// established. In the standing test's days with a zone cut off, each such connection delayed the release
// again, which showed as `pinned`.
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
  CHECK(released <= 3);  // after two failed connects, 75 ms after the read broke
}

// A writer also finds no state if it can't reach the reader, which is cut off and still holds the state.
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

// A release call frees all prompt state of a request, wherever it is, including what a newer read has just
// left.
TEST_CASE("a release does not remove the reservation of a newer attempt", "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.engine.on_attempt_completed(fixture.started[0], {AttemptStatus::kReset, 0, {}, {}});
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send r"});
  SECTION("the newer attempt ends before the first one's reservation must be released") {
    fixture.advance(milliseconds(200));
    fixture.complete_read(1);
    fixture.advance(milliseconds(300));
    CHECK(fixture.calls == EngineFixture::Calls{"send r", "send r", "send w"});
  }
  SECTION("the end of the newer attempt ends the release calls for the first one") {
    fixture.advance(milliseconds(300));
    CHECK(fixture.calls == EngineFixture::Calls{"send r", "send r", "release"});
    CHECK(fixture.cancelled_releases == 0);
    fixture.complete_read(1);
    CHECK(fixture.cancelled_releases == 1);
    fixture.advance(milliseconds(300));
    CHECK(fixture.calls == EngineFixture::Calls{"send r", "send r", "release", "send w"});
  }
}

// Guards against the incident of 2026-12-02 at a reader: the reader's link may have gone silent, so that
// nothing arrived.
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
  fixture.advance(milliseconds(300));  // requested again until it is confirmed
  CHECK((releases() > 1) == !fixture.confirms_releases);
}

TEST_CASE("release calls for a read that may still run are made again after a write has ended them",
          "[core]") {
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

TEST_CASE("a cancelled read is released until its deadline if its reader may not have noticed", "[core]") {
  EngineFixture fixture;
  fixture.endpoint_silent = GENERATE(false, true);
  const SlotId id = fixture.submit("a");
  fixture.engine.on_client_disconnected(id);
  fixture.advance(milliseconds(400));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "abandon", "release"});
  CHECK(fixture.late_reads_of_release.silent_reader.empty() != fixture.endpoint_silent);
  CHECK((fixture.late_reads_of_release.silent_until > fixture.now + seconds(2)) == fixture.endpoint_silent);
}

TEST_CASE("state that was released during an attempt at a writer is released again at the attempt's end",
          "[core]") {
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

TEST_CASE("a client's disconnect during the attempt at the writer releases the reservation once", "[core]") {
  EngineFixture fixture;
  const SlotId id = fixture.submit("a");
  fixture.complete_read(0);
  fixture.engine.on_client_disconnected(id);
  fixture.advance(milliseconds(400));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "abandon", "release"});
  CHECK(fixture.engine.open_request_count() == 0);
}

TEST_CASE("a client's disconnect during its stream cancels the attempt immediately", "[core]") {
  EngineFixture fixture;
  const SlotId id = fixture.submit("a");
  fixture.complete_read(0);
  fixture.engine.on_events(fixture.started[1], "data: x\n\n");
  fixture.engine.on_client_disconnected(id);
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "begin", "abandon"});
  CHECK(fixture.engine.open_request_count() == 0);
}

// A machine that has vanished sends nothing and its connections stay open. The client must not wait for 5 s.
TEST_CASE("an idle stream is aborted in time, and one with events is not", "[core]") {
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

TEST_CASE("a client that reads slowly pauses the endpoint's response and is not aborted for that", "[core]") {
  EngineFixture fixture;
  const SlotId id = fixture.submit("a");
  fixture.complete_read(0);
  fixture.has_capacity = false;
  fixture.engine.on_events(fixture.started[1], "data: x\n\n");
  fixture.advance(seconds(10));
  fixture.engine.resume_stream(id);
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "begin", "pause", "resume"});
  fixture.advance(seconds(5));
  CHECK(fixture.calls.back() == "cut");  // from then on the endpoint is the idle side
}

TEST_CASE("a non-idempotent request whose writer never answers fails at its deadline and is sent once",
          "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.advance(seconds(3));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "abandon", "release", "fail late"});
}

// A request that was never written in full can't have run, so its client may safely retry it.
TEST_CASE("a non-idempotent request that its writer never fully received is rejected with a retry time",
          "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.delivered = false;
  fixture.advance(seconds(3));
  CHECK(fixture.calls.back() == "refuse with advice");
}

TEST_CASE("a non-idempotent request whose stream breaks is aborted and not retried", "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.engine.on_events(fixture.started[1], "data: x\n\n");
  fixture.engine.on_attempt_completed(fixture.started[1], {AttemptStatus::kReset, 0, {}, {}});
  fixture.advance(seconds(4));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "begin", "cut"});
}

TEST_CASE("a non-idempotent request fails and is not retried if its stream has no event", "[core]") {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.engine.on_attempt_completed(fixture.started[1], {AttemptStatus::kServed, 0, {}, {}});
  fixture.advance(seconds(4));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send w", "release", "fail"});
}

// Failed reads may use up the attempts. Such a request used to be kept until its deadline, though nothing
// could serve it.
TEST_CASE("a request without attempts left for both stages is rejected immediately", "[core]") {
  EngineFixture fixture;
  fixture.submit("a", "ask");
  for (int i = 0; i < 3; ++i)
    fixture.engine.on_attempt_completed(fixture.started.back(), {AttemptStatus::kError, 0, {}, {}});
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "send r", "send r", "refuse with advice"});
  CHECK(fixture.engine.open_request_count() == 0);
}

// Writing the next attempt ends a release. When that attempt ended without a completed read, the release was
// not requested again, and the state stayed held.
TEST_CASE("a possible reservation is released again until a release is confirmed", "[core]") {
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
  SECTION("it is released again after a rejected attempt") {
    fixture.connected = true;
    fixture.advance(milliseconds(20));
    fixture.connected = false;
    fixture.engine.on_attempt_completed(fixture.started[1], {AttemptStatus::kFull, 0, {}, {}});
    fixture.advance(milliseconds(100));
    CHECK(releases() == 2);
  }
  SECTION("it is not released again after a first token") {
    fixture.connected = true;
    fixture.complete_read(1);
    fixture.engine.on_events(fixture.started[2], "data: x\n\n");
    fixture.engine.on_attempt_completed(
        fixture.started[2], {AttemptStatus::kReset, 0, routing::AttemptEvidence::kEndpointRunning, {}});
    fixture.advance(seconds(4));
    CHECK(releases() == 1);
  }
}

TEST_CASE("a read that the dispatcher cancelled is not expected to leave a reservation later", "[core]") {
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
      fixture.started[2], {AttemptStatus::kFull, 0, {}, {}});  // the writer is full, and the state is kept
  fixture.advance(milliseconds(100));
  CHECK(std::count(fixture.calls.begin(), fixture.calls.end(), "release") == 0);
  fixture.engine.on_attempt_completed(
      fixture.started[3],
      {AttemptStatus::kFull, 0, {}, {}});  // no attempt is left, so the router releases it
  CHECK(std::count(fixture.calls.begin(), fixture.calls.end(), "release") == 1);
  CHECK(fixture.late_reads_of_release.until > fixture.now);  // the broken read may still run
}

TEST_CASE("a client's disconnect ends an attempt that waits for its connection, whatever may_cancel is",
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

// A partly written request can't have run: its end says nothing about its endpoint's health, and it left no
// reservation.
TEST_CASE("a request partly written when its client disconnects leaves no reservation", "[core]") {
  EngineFixture fixture;
  fixture.delivered = false;
  const SlotId id = fixture.submit("a");
  fixture.engine.on_client_disconnected(id);
  fixture.advance(milliseconds(400));
  CHECK(fixture.calls == EngineFixture::Calls{"send r", "abandon"});
  CHECK(fixture.engine.open_request_count() == 0);
}

// The attempt's first byte ended the release calls for the broken read, which may still run.
TEST_CASE("a broken read is released again after a partly written attempt timed out", "[core]") {
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

TEST_CASE("an attempt whose client has disconnected is not needed and ends its request without an answer",
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
  fixture.engine.on_client_disconnected(id);  // the frontend reports the disconnect later
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
