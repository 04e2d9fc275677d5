// Retries: which requests may be sent again, where to, and how often. No server speed is modelled.
#include "harness.hpp"

namespace dispatcher::routing::testing {
namespace {

TEST(Effects, ALostReadIsRepeatedEvenForUnsafe) {
  for (const AttemptStatus v :
       {AttemptStatus::kError, AttemptStatus::kTimeout, AttemptStatus::kReset, AttemptStatus::kCancelled}) {
    Harness h;
    h.list(make_endpoints());
    const std::string first = h.ask("a", "unsafe");
    h.end("a", v);
    EXPECT_NE(h.out["a"], "");
    EXPECT_NE(h.out["a"], first);
  }
}

TEST(Effects, UnsafeThatMayHaveRunFailsAndIsReleased) {
  for (const AttemptStatus v :
       {AttemptStatus::kError, AttemptStatus::kTimeout, AttemptStatus::kReset, AttemptStatus::kCancelled}) {
    Harness h;
    h.list(make_endpoints());
    h.ask("a", "unsafe");
    h.end("a", AttemptStatus::kRead);
    h.end("a", v);
    EXPECT_EQ(h.failed, std::vector<std::string>{"a"});
    EXPECT_FALSE(h.held["a"]);
  }
}

TEST(Effects, UnsafeThatNeverRanGoesElsewhere) {
  for (const AttemptStatus v : {AttemptStatus::kFull, AttemptStatus::kConnectFailed}) {
    Harness h;
    h.list(make_endpoints());
    h.ask("a", "unsafe");
    h.end("a", AttemptStatus::kRead);
    const std::string first = h.out["a"];
    h.end("a", v);
    EXPECT_NE(h.out["a"], "");
    EXPECT_NE(h.out["a"], first);
  }
}

TEST(Effects, FullWithoutAStateIsReadAnew) {
  Harness h;
  h.list(make_endpoints());
  h.ask("a", "unsafe");
  h.end("a", AttemptStatus::kRead);
  h.end("a", AttemptStatus::kFull, AttemptEvidence::kStateNotFound);
  EXPECT_TRUE(h.out["a"].starts_with("r"));
}

TEST(Effects, KeyedStaysInItsGroupAndWindow) {
  Harness h;
  h.list(make_endpoints());
  h.list({endpoint("w4", "w", 4)}, ListKind::kDelta);
  h.ask("a", "keyed");
  h.end("a", AttemptStatus::kRead);
  EXPECT_NE(h.out["a"], "w3");
  h.end("a", AttemptStatus::kError);
  EXPECT_TRUE(h.out["a"] == "w1" || h.out["a"] == "w2" || h.out["a"] == "w4") << h.out["a"];
  h.now += seconds(5) + milliseconds(1);  // past the window: no further send, and no refusal either
  h.end("a", AttemptStatus::kError);
  h.run(milliseconds(300));
  EXPECT_EQ(h.out["a"], "");
  EXPECT_EQ(h.failed, std::vector<std::string>{"a"});
}

// kestrel-dispatch, split+brink: repeats that were decided on in the window came after it, by the time that
// their connections took. A repeat says by when it must be on its way.
TEST(Effects, KeyedRepeatsWaitForNoConnectionPastTheirWindow) {
  for (const char* cls : {"keyed", "keyed-all"}) {
    Harness h;
    h.list(make_endpoints());
    h.ask("a", cls);
    h.end("a", AttemptStatus::kRead);
    const Time first = h.now;
    h.now += milliseconds(4900);  // a held state alone may wait for 300 ms more
    h.end("a", AttemptStatus::kReset);
    ASSERT_TRUE(h.out["a"].starts_with("w"));
    EXPECT_NE(h.sends.back().connect_by, Time{});
    EXPECT_LE(h.sends.back().connect_by, first + seconds(5));
    h.now = first + seconds(5);  // what is over just now would come too late
    h.end("a", AttemptStatus::kConnectFailed);
    h.run(milliseconds(300));
    EXPECT_EQ(h.out["a"], "");
    EXPECT_EQ(h.failed.size() + h.rejected.size(), 1U);
  }
}

// kestrel-dispatch, split+brink, seed 1: a request was read anew 57 ms after its window, as its first
// attempt, at a mixed server, had been reset by then. A further read is a send like any other.
TEST(Effects, KeyedIsNotReadAnewPastItsWindowOrOutsideItsGroup) {
  for (const char* cls : {"keyed", "keyed-all"}) {
    Harness h;
    h.list({endpoint("m1", "m")});
    ASSERT_EQ(h.ask("a", cls), "m1");
    ASSERT_EQ(h.ask("b", cls), "m1");
    h.list({endpoint("r9", "r", 0, "west"), endpoint("w9", "w", 0, "west")}, ListKind::kDelta);
    h.end("b", AttemptStatus::kReset);  // in its window, but the reader is in another zone
    EXPECT_EQ(h.out["b"], std::string(cls) == "keyed" ? "m1" : "r9");
    h.list({endpoint("r1", "r"), endpoint("w1", "w")}, ListKind::kDelta);
    h.now += seconds(5);
    h.end("a", AttemptStatus::kReset);
    EXPECT_EQ(h.out["a"], "");
    const auto& answered = std::string(cls) == "keyed" ? h.failed : h.rejected;
    EXPECT_EQ(answered, std::vector<std::string>{"a"}) << "at once: nothing can be sent any more";
  }
}

TEST(Effects, KeyedByAllMayBeRejected) {
  Settings s = make_settings();
  s.max_attempts = 2;
  Harness h(s);
  h.list(make_endpoints());
  h.ask("a", "keyed-all");
  h.end("a", AttemptStatus::kRead);
  h.end("a", AttemptStatus::kError);
  EXPECT_EQ(h.rejected, std::vector<std::string>{"a"});
}

// On sockets a refused connection costs a millisecond and reaches nobody: half of a list can be out of date.
TEST(Retries, ConnectionsThatWereNotMadeLeaveTheAttempts) {
  std::vector<EndpointInfo> endpoints;
  for (int i = 0; i < 8; ++i) endpoints.push_back(endpoint("r" + std::to_string(i), "r"));
  for (int i = 0; i < 8; ++i) endpoints.push_back(endpoint("w" + std::to_string(i), "w"));
  const auto tries = [&](int free_connect_failures, bool one_lives,
                         milliseconds writer_fails = milliseconds(50)) {
    Settings s = make_settings();
    s.max_attempts = 4;
    s.free_connect_failures = free_connect_failures;
    s.reservation_expires_while_connecting = true;
    Harness h(s);
    h.list(endpoints);
    h.ask("a", "unsafe");
    int knocks = 0;
    for (; !h.ended["a"] && h.out["a"].starts_with("r") && (knocks < 5 || !one_lives); ++knocks)
      h.end("a", AttemptStatus::kConnectFailed, {}, milliseconds(1));
    if (!one_lives) return knocks;
    EXPECT_FALSE(h.ended["a"]);
    h.end("a", AttemptStatus::kRead);
    for (; !h.ended["a"] && h.attempts["a"] < 20; h.end("a", AttemptStatus::kConnectFailed, {}, writer_fails))
      h.now += writer_fails;
    EXPECT_EQ(h.released.size(), 1U) << "what was read is let go in time";
    return h.attempts["a"];
  };
  EXPECT_EQ(tries(16, true), 5 + 1 + 5) << "writers: until 0.7 of the pin limit of 300 ms are over";
  EXPECT_EQ(tries(16, true, milliseconds(250)), 5 + 1 + 1) << "the time runs on while one fails to come up";
  EXPECT_EQ(tries(0, false), 3) << "the simulator counts them, and keeps one for the write";
  EXPECT_LE(tries(16, false), 16 + 4) << "none lives: it does not knock for ever";
}

TEST(Retries, RefusalsCarryAdviceWithinTheLimit) {
  Settings s = make_settings();
  s.max_attempts = 1;
  Harness h(s);
  h.list({endpoint("m1", "m")});
  h.ask("a");
  h.out["a"] = "";
  const auto actions =
      h.pass(AttemptCompleted{"a", "m1", 0, AttemptStatus::kConnectFailed, {}, false, 0, {}, {}});
  bool found = false;
  for (const Action& a : actions) {
    if (const auto* r = std::get_if<Reject>(&a)) {
      found = true;
      ASSERT_TRUE(r->retry_after);
      EXPECT_LE(*r->retry_after, s.max_retry_after);
    }
  }
  EXPECT_TRUE(found);
}

}  // namespace
}  // namespace dispatcher::routing::testing
