// Each request gets one final answer in time, and what is held for it is released. No server speed is
// modelled.
#include "harness.hpp"

namespace dispatcher::routing::testing {
namespace {

TEST(Pins, AStateWithoutAWriterIsLetGoInTime) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("w1", "w")});
  h.ask("a");
  h.list({endpoint("w1", "w", 0, "east", EndpointState::kRemoved)}, ListKind::kDelta);
  h.end("a", AttemptStatus::kRead);
  EXPECT_TRUE(h.held["a"]);
  h.run(milliseconds(280));
  EXPECT_FALSE(h.held["a"]);
  EXPECT_EQ(h.rejected, std::vector<std::string>{"a"});
}

TEST(Pins, ClientGoneReleases) {
  Harness h;
  h.list(make_endpoints());
  h.ask("a");
  h.pass(ClientGone{"a"});
  h.ended["a"] = true;
  EXPECT_EQ(h.cancelled, std::vector<std::string>{"a"});
  h.end("a", AttemptStatus::kRead);
  EXPECT_FALSE(h.held["a"]);
  EXPECT_EQ(h.router.table_sizes().requests, 0U);
}

TEST(Answers, NoServerMeansAnAnswerBeforeTheDeadline) {
  for (const char* cls : {"safe", "unsafe", "keyed"}) {
    Harness h;
    h.ask("a", cls);
    h.run(seconds(6) - milliseconds(20));
    EXPECT_EQ(h.rejected.size() + h.failed.size(), 1U);
  }
}

TEST(Answers, TrafficRecoversOnceAServerIsKnown) {
  Harness h;
  h.ask("a");
  h.list(make_endpoints());
  h.run(milliseconds(40));
  EXPECT_NE(h.out["a"], "");
}

TEST(Answers, AReadThatFailsNearTheDeadlineIsAnsweredAtOnce) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("w1", "w")});
  h.ask("a");
  h.now += seconds(6) - milliseconds(5);
  h.end("a", AttemptStatus::kTimeout);
  EXPECT_EQ(h.rejected, std::vector<std::string>{"a"});
}

TEST(Answers, UnknownClassFailsAndRepeatedIdsAreIgnored) {
  Harness h;
  h.list(make_endpoints());
  h.ask("a", "no such class");
  EXPECT_EQ(h.failed, std::vector<std::string>{"a"});
  h.ask("b");
  const std::size_t sent = h.sends.size();
  h.pass(h.make("b"));
  EXPECT_EQ(h.sends.size(), sent);
}

TEST(Answers, EventsThatNobodyAskedForChangeNothing) {
  Harness h;
  h.list(make_endpoints());
  h.ask("a");
  const std::size_t sent = h.sends.size();
  h.pass(AttemptCompleted{"unknown", "r1", 0, AttemptStatus::kRead, {}, false, 0, {}, {}});
  h.pass(AttemptCompleted{"a", "r1", 7, AttemptStatus::kRead, {}, false, 0, {}, {}});
  h.pass(FirstToken{"a", "nowhere", 3, {}});
  h.pass(ClientGone{"unknown"});
  h.pass(TimerExpired{12345});
  h.pass(ReservationResult{"unknown", "w1", true});
  EXPECT_EQ(h.sends.size(), sent);
  EXPECT_TRUE(h.rejected.empty() && h.failed.empty() && h.released.empty());
}

}  // namespace
}  // namespace dispatcher::routing::testing
