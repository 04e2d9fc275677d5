// What may be held for a request: each end of an attempt alone, and the orders in which they come.
#include "engine/held_states.hpp"

#include <catch2/catch.hpp>

#include "upstream/exchange.hpp"

namespace dispatcher::engine {
namespace {

using routing::Verdict;

constexpr Time kNow = std::chrono::seconds(100), kUntil = std::chrono::seconds(105);

TEST_CASE("which ends of attempts may leave a state, and which of them later still", "[held]") {
  struct Row {
    Verdict verdict;
    int note;
    bool reads, left, runs;
  };
  const Row row = GENERATE(
      Row{Verdict::kServed, 0, false, false, false}, Row{Verdict::kError, 0, true, false, false},
      Row{Verdict::kError, 1, true, true, true}, Row{Verdict::kError, 1, false, true, false},
      Row{Verdict::kFull, 0, true, false, false}, Row{Verdict::kFull, 1, false, true, false},
      Row{Verdict::kTimeout, 0, true, true, false}, Row{Verdict::kTimeout, 0, false, false, false},
      Row{Verdict::kConnectFailed, 0, true, false, false},
      Row{Verdict::kConnectFailed, 1, true, false, false}, Row{Verdict::kReset, 0, true, true, true},
      Row{Verdict::kReset, 1, true, true, true}, Row{Verdict::kReset, 0, false, false, false},
      Row{Verdict::kCancelled, 0, true, true, false}, Row{Verdict::kCancelled, 0, false, false, false},
      Row{Verdict::kNeverSent, 0, true, false, false});
  HeldStates held;
  CHECK(held.attempt_ended({row.verdict, row.note, row.reads, kUntil}, kNow) == row.left);
  CHECK(held.may_hold() == row.left);
  CHECK(held.may_release() == row.left);
  CHECK(held.runs_until() == (row.runs ? kUntil : Time{}));
}

TEST_CASE("what runs on is to be asked for after every written attempt, until its time or a first token",
          "[held]") {
  HeldStates held;
  held.attempt_ended({Verdict::kReset, 0, true, kUntil}, kNow);
  held.release_answered();
  CHECK_FALSE(held.may_hold());
  held.attempt_ended({Verdict::kConnectFailed, 0, true, kUntil}, kNow);
  CHECK_FALSE(held.may_hold());  // it ended no calls
  held.attempt_ended({Verdict::kFull, 0, true, kUntil}, kNow);
  CHECK(held.may_hold());
  held.release_answered();
  held.attempt_ended({Verdict::kFull, 0, true, kUntil}, kUntil);
  CHECK_FALSE(held.may_hold());
  held.attempt_ended({Verdict::kReset, 0, true, kUntil}, kNow);
  held.first_token();
  CHECK_FALSE(held.may_hold());
  CHECK(held.runs_until() == Time{});
}

TEST_CASE("the state that the router knows of is its own until it lets go or the state was fetched",
          "[held]") {
  HeldStates held;
  held.attempt_ended({Verdict::kReset, 0, true, kUntil}, kNow);
  held.attempt_ended({Verdict::kRead, 0, true, {}}, kNow);
  CHECK_FALSE(held.may_hold());
  held.attempt_ended({Verdict::kFull, 0, false, {}}, kNow);
  CHECK_FALSE(held.may_release());
  SECTION("the router lets go") { held.router_released(); }
  SECTION("a writer found it gone") { held.attempt_ended({Verdict::kFull, 1, false, {}}, kNow); }
  SECTION("a writer's answer broke off") { held.attempt_ended({Verdict::kReset, 1, false, {}}, kNow); }
  CHECK(held.may_release());
  CHECK(held.runs_until() == kUntil);
}

// Its writer has fetched the state and runs: without the note, the state was taken to be there still.
TEST_CASE("a stream whose last event is cut short had begun", "[held]") {
  http::ResponseReader::Message message;
  message.result(200);
  CHECK(upstream::judge(message, "data: {\"a\"", {}).verdict == Verdict::kReset);
  CHECK(upstream::judge(message, "data: {\"a\"", {}).note == 1);
  CHECK(upstream::judge(message, ": X-Backend-Load: {}", {}).verdict == Verdict::kServed);
  CHECK(upstream::judge(message, "", {}).verdict == Verdict::kServed);
}

}  // namespace
}  // namespace dispatcher::engine
