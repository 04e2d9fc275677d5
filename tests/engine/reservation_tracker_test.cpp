// Tests of what endpoints may hold for a request: after each end of an attempt alone, and after sequences of
// them.
#include "engine/reservation_tracker.hpp"

#include <catch2/catch.hpp>

#include "upstream/protocol.hpp"

namespace dispatcher::engine {
namespace {

using routing::AttemptEvidence;
using routing::AttemptStatus;

constexpr Time kNow = std::chrono::seconds(100);
constexpr Time kUntil = std::chrono::seconds(105);

using WriterAttempt = ReservationTracker::WriterAttempt;

TEST_CASE("the result of an attempt determines whether it may leave a reservation, now or later", "[held]") {
  struct Row {
    AttemptStatus status;
    AttemptEvidence evidence;
    bool at_reader;
    bool may_have_left_state;
    bool may_run_on;
  };
  const Row row =
      GENERATE(Row{AttemptStatus::kServed, AttemptEvidence::kNone, false, false, false},
               Row{AttemptStatus::kError, AttemptEvidence::kNone, true, false, false},
               Row{AttemptStatus::kError, AttemptEvidence::kEndpointRunning, true, true, true},
               Row{AttemptStatus::kError, AttemptEvidence::kEndpointRunning, false, true, false},
               Row{AttemptStatus::kFull, AttemptEvidence::kNone, true, false, false},
               Row{AttemptStatus::kFull, AttemptEvidence::kStateNotFound, false, true, false},
               Row{AttemptStatus::kTimeout, AttemptEvidence::kNone, true, true, false},
               Row{AttemptStatus::kTimeout, AttemptEvidence::kNone, false, false, false},
               Row{AttemptStatus::kConnectFailed, AttemptEvidence::kNone, true, false, false},
               Row{AttemptStatus::kConnectFailed, AttemptEvidence::kEndpointRunning, true, false, false},
               Row{AttemptStatus::kReset, AttemptEvidence::kNone, true, true, true},
               Row{AttemptStatus::kReset, AttemptEvidence::kEndpointRunning, true, true, true},
               Row{AttemptStatus::kReset, AttemptEvidence::kNone, false, false, false},
               Row{AttemptStatus::kCancelled, AttemptEvidence::kNone, true, true, false},
               Row{AttemptStatus::kCancelled, AttemptEvidence::kNone, false, false, false},
               Row{AttemptStatus::kNeverSent, AttemptEvidence::kNone, true, false, false});
  ReservationTracker tracker;
  CHECK(tracker.on_attempt_ended({row.status, row.evidence, row.at_reader, kUntil}, kNow) ==
        row.may_have_left_state);
  CHECK(tracker.may_hold() == row.may_have_left_state);
  CHECK(tracker.may_release() == row.may_have_left_state);
  CHECK(tracker.late_reads().until == (row.may_run_on ? kUntil : Time{}));
}

TEST_CASE("a possible reservation is released after each written attempt until a deadline or first token",
          "[held]") {
  ReservationTracker tracker;
  tracker.on_attempt_ended({AttemptStatus::kReset, AttemptEvidence::kNone, true, kUntil}, kNow);
  tracker.on_release_requested();
  tracker.on_release_confirmed();
  CHECK_FALSE(tracker.may_hold());
  tracker.on_attempt_ended({AttemptStatus::kConnectFailed, AttemptEvidence::kNone, true, kUntil}, kNow);
  CHECK_FALSE(tracker.may_hold());  // nothing was written, so the release calls continue
  tracker.on_attempt_ended({AttemptStatus::kFull, AttemptEvidence::kNone, true, kUntil}, kNow);
  CHECK(tracker.may_hold());
  tracker.on_release_requested();
  tracker.on_release_confirmed();
  tracker.on_attempt_ended({AttemptStatus::kFull, AttemptEvidence::kNone, true, kUntil}, kUntil);
  CHECK_FALSE(tracker.may_hold());
  tracker.on_attempt_ended({AttemptStatus::kReset, AttemptEvidence::kNone, true, kUntil}, kNow);
  tracker.on_first_token();
  CHECK_FALSE(tracker.may_hold());
  CHECK(tracker.late_reads().until == Time{});
}

TEST_CASE("the reservation that the router tracks is kept until it is released or a writer fetched it",
          "[held]") {
  ReservationTracker tracker;
  tracker.on_attempt_ended({AttemptStatus::kReset, AttemptEvidence::kNone, true, kUntil}, kNow);
  tracker.on_attempt_ended({AttemptStatus::kRead, AttemptEvidence::kNone, true, {}}, kNow);
  CHECK_FALSE(tracker.may_hold());
  tracker.on_attempt_ended({AttemptStatus::kFull, AttemptEvidence::kNone, false, {}}, kNow);
  CHECK_FALSE(tracker.may_release());
  SECTION("the router releases it") { tracker.on_released_by_router(WriterAttempt::kNone, kNow); }
  SECTION("a writer found no state") {
    tracker.on_attempt_ended({AttemptStatus::kFull, AttemptEvidence::kStateNotFound, false, {}}, kNow);
  }
  SECTION("a writer's response broke off") {
    tracker.on_attempt_ended({AttemptStatus::kReset, AttemptEvidence::kEndpointRunning, false, {}}, kNow);
  }
  CHECK(tracker.may_release());
  CHECK(tracker.late_reads().until == kUntil);
}

// A release does not remove state that an attempt is waiting for. If that attempt ends without being served,
// the state is still held.
TEST_CASE("state that was released during an attempt in flight is released again when the attempt ends",
          "[held]") {
  ReservationTracker tracker;
  tracker.on_attempt_ended({AttemptStatus::kRead, AttemptEvidence::kNone, true, {}}, kNow);
  tracker.on_released_by_router(WriterAttempt::kInFlight, kNow);
  tracker.on_release_confirmed();
  CHECK_FALSE(tracker.may_hold());
  const auto status = GENERATE(AttemptStatus::kFull, AttemptStatus::kTimeout, AttemptStatus::kCancelled,
                               AttemptStatus::kReset, AttemptStatus::kError);
  CHECK(tracker.on_attempt_ended({status, AttemptEvidence::kNone, false, {}}, kNow));
  CHECK(tracker.may_release());
  tracker.on_release_requested();
  tracker.on_release_confirmed();
  CHECK_FALSE(tracker.may_hold());
}

TEST_CASE("the confirmation of an earlier release does not cover what was left since", "[held]") {
  ReservationTracker tracker;
  tracker.on_attempt_ended({AttemptStatus::kCancelled, AttemptEvidence::kNone, true, {}}, kNow);
  tracker.on_release_requested();
  tracker.on_attempt_ended({AttemptStatus::kCancelled, AttemptEvidence::kNone, true, {}}, kNow);
  tracker.on_release_confirmed();
  CHECK(tracker.may_release());
  CHECK(tracker.held_since() == kNow);
}

TEST_CASE("an attempt that was only written does not restart the time for which state may be held",
          "[held]") {
  constexpr Time kLater = kNow + std::chrono::milliseconds(100);
  ReservationTracker tracker;
  tracker.on_attempt_ended({AttemptStatus::kReset, AttemptEvidence::kNone, true, kUntil}, kNow);
  tracker.on_attempt_written(kLater);
  CHECK(tracker.held_since() == kNow);
  tracker.on_release_requested();
  tracker.on_release_confirmed();
  CHECK_FALSE(tracker.may_hold());
  tracker.on_attempt_written(kLater);  // the read that broke may still leave a state
  CHECK(tracker.may_release());
  CHECK(tracker.held_since() == kLater);
}

TEST_CASE("a read that the dispatcher ended may continue if its reader may not have noticed", "[held]") {
  const bool is_silent = GENERATE(false, true);
  ReservationTracker tracker;
  tracker.on_attempt_ended({AttemptStatus::kCancelled, AttemptEvidence::kNone, true, kUntil, "r1", is_silent},
                           kNow);
  CHECK(tracker.late_reads().may_leave_state(kNow) == is_silent);
  CHECK(tracker.late_reads().until == Time{});
  CHECK(tracker.late_reads().silent_reader == (is_silent ? EndpointId("r1") : EndpointId()));
}

// The writer of such a stream has fetched the state and runs. Without the evidence kEndpointRunning, the
// state was assumed to be still held.
TEST_CASE("a stream whose last event is incomplete counts as started", "[held]") {
  http::ResponseReader::Message message;
  message.result(200);
  CHECK(upstream::interpret_response(message, "data: {\"a\"", {}).status == AttemptStatus::kReset);
  CHECK(upstream::interpret_response(message, "data: {\"a\"", {}).evidence ==
        AttemptEvidence::kEndpointRunning);
  CHECK(upstream::interpret_response(message, ": X-Backend-Load: {}", {}).status == AttemptStatus::kServed);
  CHECK(upstream::interpret_response(message, "", {}).status == AttemptStatus::kServed);
}

}  // namespace
}  // namespace dispatcher::engine
