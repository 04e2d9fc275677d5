// What may be held for a request: each end of an attempt alone, and the orders in which they come.
#include "engine/reservation_tracker.hpp"

#include <catch2/catch.hpp>

#include "upstream/protocol.hpp"

namespace dispatcher::engine {
namespace {

using routing::AttemptStatus;

constexpr Time kNow = std::chrono::seconds(100), kUntil = std::chrono::seconds(105);

TEST_CASE("which ends of attempts may leave a state, and which of them later still", "[held]") {
  struct Row {
    AttemptStatus status;
    int note;
    bool reads, left, runs;
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
  ReservationTracker held;
  CHECK(held.attempt_ended({row.status, row.note, row.reads, kUntil}, kNow) == row.left);
  CHECK(held.may_hold() == row.left);
  CHECK(held.may_release() == row.left);
  CHECK(held.runs_until() == (row.runs ? kUntil : Time{}));
}

TEST_CASE("what runs on is to be asked for after every written attempt, until its time or a first token",
          "[held]") {
  ReservationTracker held;
  held.attempt_ended({AttemptStatus::kReset, 0, true, kUntil}, kNow);
  held.release_answered();
  CHECK_FALSE(held.may_hold());
  held.attempt_ended({AttemptStatus::kConnectFailed, 0, true, kUntil}, kNow);
  CHECK_FALSE(held.may_hold());  // it ended no calls
  held.attempt_ended({AttemptStatus::kFull, 0, true, kUntil}, kNow);
  CHECK(held.may_hold());
  held.release_answered();
  held.attempt_ended({AttemptStatus::kFull, 0, true, kUntil}, kUntil);
  CHECK_FALSE(held.may_hold());
  held.attempt_ended({AttemptStatus::kReset, 0, true, kUntil}, kNow);
  held.first_token();
  CHECK_FALSE(held.may_hold());
  CHECK(held.runs_until() == Time{});
}

TEST_CASE("the state that the router knows of is its own until it lets go or the state was fetched",
          "[held]") {
  ReservationTracker held;
  held.attempt_ended({AttemptStatus::kReset, 0, true, kUntil}, kNow);
  held.attempt_ended({AttemptStatus::kRead, 0, true, {}}, kNow);
  CHECK_FALSE(held.may_hold());
  held.attempt_ended({AttemptStatus::kFull, 0, false, {}}, kNow);
  CHECK_FALSE(held.may_release());
  SECTION("the router lets go") { held.router_released(); }
  SECTION("a writer found it gone") { held.attempt_ended({AttemptStatus::kFull, 1, false, {}}, kNow); }
  SECTION("a writer's answer broke off") { held.attempt_ended({AttemptStatus::kReset, 1, false, {}}, kNow); }
  CHECK(held.may_release());
  CHECK(held.runs_until() == kUntil);
}

// Its writer has fetched the state and runs: without the note, the state was taken to be there still.
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
