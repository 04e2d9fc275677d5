// What replicas may hold for a request: each end of an attempt alone, and the orders in which they come.
#include "engine/reservation_tracker.hpp"

#include <catch2/catch.hpp>

#include "upstream/protocol.hpp"

namespace dispatcher::engine {
namespace {

using routing::AttemptStatus;

constexpr Time kNow = std::chrono::seconds(100), kUntil = std::chrono::seconds(105);

TEST_CASE("which ends of attempts may leave a state behind, and which may do so later", "[held]") {
  struct Row {
    AttemptStatus status;
    int note;
    bool at_reader, may_have_left_state, may_run_on;
  };
  const Row row = GENERATE(
      Row{AttemptStatus::kServed, 0, false, false, false}, Row{AttemptStatus::kError, 0, true, false, false},
      Row{AttemptStatus::kError, 1, true, true, true}, Row{AttemptStatus::kError, 1, false, true, false},
      Row{AttemptStatus::kFull, 0, true, false, false}, Row{AttemptStatus::kFull, 1, false, true, false},
      Row{AttemptStatus::kTimeout, 0, true, true, false},
      Row{AttemptStatus::kTimeout, 0, false, false, false},
      Row{AttemptStatus::kConnectFailed, 0, true, false, false},
      Row{AttemptStatus::kConnectFailed, 1, true, false, false},
      Row{AttemptStatus::kReset, 0, true, true, true}, Row{AttemptStatus::kReset, 1, true, true, true},
      Row{AttemptStatus::kReset, 0, false, false, false},
      Row{AttemptStatus::kCancelled, 0, true, true, false},
      Row{AttemptStatus::kCancelled, 0, false, false, false},
      Row{AttemptStatus::kNeverSent, 0, true, false, false});
  ReservationTracker tracker;
  CHECK(tracker.on_attempt_ended({row.status, row.note, row.at_reader, kUntil}, kNow) ==
        row.may_have_left_state);
  CHECK(tracker.may_hold() == row.may_have_left_state);
  CHECK(tracker.may_release() == row.may_have_left_state);
  CHECK(tracker.may_run_until() == (row.may_run_on ? kUntil : Time{}));
}

TEST_CASE("what may still run is released after every written attempt, up to its deadline or a first token",
          "[held]") {
  ReservationTracker tracker;
  tracker.on_attempt_ended({AttemptStatus::kReset, 0, true, kUntil}, kNow);
  tracker.on_release_confirmed();
  CHECK_FALSE(tracker.may_hold());
  tracker.on_attempt_ended({AttemptStatus::kConnectFailed, 0, true, kUntil}, kNow);
  CHECK_FALSE(tracker.may_hold());  // nothing was written, so that the release calls go on
  tracker.on_attempt_ended({AttemptStatus::kFull, 0, true, kUntil}, kNow);
  CHECK(tracker.may_hold());
  tracker.on_release_confirmed();
  tracker.on_attempt_ended({AttemptStatus::kFull, 0, true, kUntil}, kUntil);
  CHECK_FALSE(tracker.may_hold());
  tracker.on_attempt_ended({AttemptStatus::kReset, 0, true, kUntil}, kNow);
  tracker.on_first_token();
  CHECK_FALSE(tracker.may_hold());
  CHECK(tracker.may_run_until() == Time{});
}

TEST_CASE("the state that the router knows of is not released until the router does so or it was fetched",
          "[held]") {
  ReservationTracker tracker;
  tracker.on_attempt_ended({AttemptStatus::kReset, 0, true, kUntil}, kNow);
  tracker.on_attempt_ended({AttemptStatus::kRead, 0, true, {}}, kNow);
  CHECK_FALSE(tracker.may_hold());
  tracker.on_attempt_ended({AttemptStatus::kFull, 0, false, {}}, kNow);
  CHECK_FALSE(tracker.may_release());
  SECTION("the router releases it") { tracker.on_released_by_router(); }
  SECTION("a writer found it gone") { tracker.on_attempt_ended({AttemptStatus::kFull, 1, false, {}}, kNow); }
  SECTION("a writer's answer broke off") {
    tracker.on_attempt_ended({AttemptStatus::kReset, 1, false, {}}, kNow);
  }
  CHECK(tracker.may_release());
  CHECK(tracker.may_run_until() == kUntil);
}

// Its writer has fetched the state and runs: without the note, the state was assumed to be held still.
TEST_CASE("a stream whose last event is cut short had begun", "[held]") {
  http::ResponseReader::Message message;
  message.result(200);
  CHECK(upstream::interpret_response(message, "data: {\"a\"", {}).status == AttemptStatus::kReset);
  CHECK(upstream::interpret_response(message, "data: {\"a\"", {}).note == 1);
  CHECK(upstream::interpret_response(message, ": X-Backend-Load: {}", {}).status == AttemptStatus::kServed);
  CHECK(upstream::interpret_response(message, "", {}).status == AttemptStatus::kServed);
}

}  // namespace
}  // namespace dispatcher::engine
