// The guards: each failure found has a test here.
#include "harness.hpp"

namespace dispatcher::routing::testing {
namespace {

bool logged(const std::vector<Action>& actions, const std::string& text) {
  return std::any_of(actions.begin(), actions.end(), [&](const Action& a) {
    const auto* l = std::get_if<LogMessage>(&a);
    return l != nullptr && l->text.find(text) != std::string::npos;
  });
}

// Takes `n` requests through, so that the norms are known.
void warm_up(Harness& h, int n = 40, const std::string& prefix = "warm") {
  for (int i = 0; i < n; ++i) {
    const std::string id = prefix + std::to_string(i);
    h.ask(id, "safe", 5000 + i);
    h.run(milliseconds(60));
    h.serve(id);
    h.run(milliseconds(40));
  }
}

TEST(Health, ABrokenConnectionEjectsAndASuccessBringsBack) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("w1", "w")});
  const std::string at = h.ask("a");
  h.out["a"] = "";
  EXPECT_TRUE(
      logged(h.pass(AttemptCompleted{"a", at, 0, AttemptStatus::kConnectFailed, {}, false, 0, {}, {}}),
             "ejected: unreachable"));
  for (int i = 0; i < 10; ++i) {
    const std::string id = "b" + std::to_string(i);
    EXPECT_NE(h.ask(id, "safe", i + 1), at);
    h.serve(id);
  }
  h.serve("a");
  h.run(seconds(2));  // after the rest it gets one request, and only one, until that is answered
  std::vector<std::string> there;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "c" + std::to_string(i);
    if (h.ask(id, "safe", 100 + i) == at) there.push_back(id);
  }
  EXPECT_EQ(there.size(), 1U);
  ASSERT_FALSE(there.empty());
  h.out[there[0]] = "";
  EXPECT_TRUE(logged(
      h.pass(AttemptCompleted{there[0], at, 0, AttemptStatus::kRead, milliseconds(50), false, 0, {}, {}}),
      "returned"));
}

// Single connections are reset now and then while their hosts are well: half of a fleet was left out for it.
TEST(Health, OneResetIsDoubtAndSeveralInARowEject) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("r3", "r"), endpoint("w1", "w")});
  std::vector<bool> ejected;
  for (const std::string id : {"a", "b", "c"}) {
    const std::string at = h.ask(id, "safe", 1);
    h.out[id] = "";
    ejected.push_back(logged(h.pass(AttemptCompleted{id, at, 0, AttemptStatus::kReset, {}, false, 0, {}, {}}),
                             "endpoint " + at + " ejected"));
  }
  EXPECT_EQ(ejected, (std::vector<bool>{false, false, true}));
}

// Only keyed repeats have a window. An ask that may have run found no writer until its state had to go.
TEST(Repeats, ASafeRequestThatMayHaveRunIsWrittenAgainLater) {
  Settings s = make_settings();
  s.classes[0].deduplication_window = {};  // as the settings have it for a safe class
  Harness h(s);
  h.list({endpoint("r1", "r"), endpoint("w1", "w"), endpoint("w2", "w")});
  h.ask("a");
  h.end("a", AttemptStatus::kRead);
  const std::string at = h.out["a"];
  h.run(milliseconds(100));
  h.end("a", AttemptStatus::kReset);
  EXPECT_NE(h.out["a"], "");
  EXPECT_NE(h.out["a"], at);
}

// An answer that had begun took its state along; any host may spoil one without being left out for it.
TEST(Repeats, AfterASpoiltAnswerTheStateIsReadAnewAndTheEndpointStays) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("w1", "w"), endpoint("w2", "w")});
  h.ask("a");
  h.end("a", AttemptStatus::kRead);
  const std::string at = h.out["a"];
  h.out["a"] = "";
  EXPECT_FALSE(logged(h.pass(AttemptCompleted{"a",
                                              at,
                                              1,
                                              AttemptStatus::kError,
                                              milliseconds(50),
                                              false,
                                              0,
                                              AttemptEvidence::kEndpointRunning,
                                              {}}),
                      "ejected"));
  EXPECT_EQ(h.out["a"], "r1");
}

// A writer's streams last for many seconds: waiting for their end would leave out one that has recovered.
TEST(Health, AnEjectedWriterIsTriedWhileItsOldStreamsRun) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("w1", "w"), endpoint("w2", "w")});
  std::map<std::string, std::vector<std::string>> at;  // requests by writer, all streaming
  for (int i = 0; i < 8; ++i) {
    const std::string id = "s" + std::to_string(i);
    h.ask(id, "safe", i + 1);
    h.end(id, AttemptStatus::kRead);
    at[h.out[id]].push_back(id);
    h.first(id);
  }
  ASSERT_EQ(at.size(), 2U);
  bool ejected = false;
  for (int i = 0; i < 4 && !ejected; ++i) {
    const std::string id = "e" + std::to_string(i);
    h.ask(id, "safe", 40 + i);
    h.end(id, AttemptStatus::kRead);
    if (h.out[id] != "w1") continue;
    h.out[id] = "";
    ejected =
        logged(h.pass(AttemptCompleted{id, "w1", 1, AttemptStatus::kConnectFailed, {}, false, 0, {}, {}}),
               "w1 ejected");
  }
  ASSERT_TRUE(ejected);
  h.run(seconds(2));
  int tried = 0;
  for (int i = 0; i < 12; ++i) {
    const std::string next = "n" + std::to_string(i);
    h.ask(next, "safe", 50 + i);
    h.end(next, AttemptStatus::kRead);
    tried += h.out[next] == "w1" ? 1 : 0;
  }
  EXPECT_EQ(tried, 1);  // by one request, and only one, until that is answered
}

TEST(Health, NeverEjectsMoreThanHalfOfARole) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("r3", "r"), endpoint("r4", "r"),
          endpoint("w1", "w")});
  int ejected = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "q" + std::to_string(i);
    const std::string at = h.ask(id, "safe", i + 1);
    if (at.empty()) continue;
    h.out[id] = "";
    ejected +=
        logged(
            h.pass(AttemptCompleted{id, at, h.attempts[id] - 1, AttemptStatus::kReset, {}, false, 0, {}, {}}),
            "ejected")
            ? 1
            : 0;
  }
  EXPECT_EQ(ejected, 2);
}

TEST(Health, ASilentReaderIsLeftAndItsReadsAreSentElsewhere) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("r3", "r"), endpoint("w1", "w"),
          endpoint("w2", "w")});
  warm_up(h);
  const std::string hung = h.ask("first", "safe", 9001);
  int cancelled = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "q" + std::to_string(i);
    h.ask(id, "safe", 7000 + i);
    h.run(milliseconds(60));
    for (const std::string& c : std::exchange(h.cancelled, {})) {
      ++cancelled;
      h.end(c, AttemptStatus::kCancelled);
      EXPECT_NE(h.out[c], hung);
    }
    if (!h.out[id].empty() && h.out[id] != hung) h.serve(id);
  }
  EXPECT_GE(cancelled, 1);
}

TEST(Health, AJamEjectsNobody) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("w1", "w"), endpoint("w2", "w")});
  warm_up(h);
  bool ejected = false;
  for (int i = 0; i < 12; ++i) h.ask("q" + std::to_string(i), "unsafe", 7000 + i);
  for (int step = 0; step < 100; ++step) {  // all hosts are late alike
    h.now += milliseconds(20);
    if (std::exchange(h.timer, false)) ejected |= logged(h.pass(TimerExpired{0}), "ejected");
  }
  EXPECT_FALSE(ejected);
  EXPECT_TRUE(h.cancelled.empty());
}

std::vector<EndpointInfo> twenty_readers() {
  std::vector<EndpointInfo> endpoints = {endpoint("w1", "w"), endpoint("w2", "w")};
  for (int i = 0; i < 20; ++i) endpoints.push_back(endpoint("r" + std::to_string(i), "r"));
  return endpoints;
}

TEST(Health, EndpointsWithoutOwnAttemptsDoNotMakeTheOthersLookLate) {
  Harness h;
  h.list(twenty_readers());
  warm_up(h);
  std::map<std::string, int> used;
  for (int i = 0; i < 3; ++i) ++used[h.ask("q" + std::to_string(i), "safe", 7000 + i)];
  ASSERT_EQ(used.size(), 3U);
  h.run(seconds(3));  // all that are asked are late alike
  EXPECT_TRUE(h.cancelled.empty());
}

TEST(Health, ATimeOutWhileAllAreLateEjectsNobody) {
  Harness h;
  h.list(twenty_readers());
  warm_up(h);
  for (int i = 0; i < 8; ++i) {  // one at a time, late at whichever reader
    const std::string id = "q" + std::to_string(i);
    if (h.ask(id, "safe", 7000 + i).empty()) continue;
    h.run(milliseconds(300));
    h.end(id, AttemptStatus::kRead, {}, milliseconds(1400));
    h.first(id, milliseconds(200));
  }
  const std::string late = h.ask("last", "unsafe", 9001);
  ASSERT_NE(late, "");
  h.out["last"] = "";
  const AttemptCompleted timed_out{"last", late, 0, AttemptStatus::kTimeout, milliseconds(2500), false,
                                   0,      {},   {}};
  EXPECT_FALSE(logged(h.pass(timed_out), "ejected"));
}

TEST(Lost, AnAttemptThatLaterSendsHavePassedIsCancelledEarly) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("w1", "w")});
  warm_up(h);
  h.ask("lost", "safe", 9001);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "q" + std::to_string(i);
    h.ask(id, "safe", 7000 + i);
    h.run(milliseconds(60));
    h.serve(id);
  }
  EXPECT_TRUE(h.cancelled.empty());
  h.run(milliseconds(300));
  EXPECT_EQ(h.cancelled, std::vector<std::string>{"lost"});
}

TEST(Full, AFullEndpointIsLeftAloneForAWhile) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("w1", "w")});
  const std::string at = h.ask("a");
  h.end("a", AttemptStatus::kFull);
  EXPECT_NE(h.out["a"], at);
  for (int i = 0; i < 10; ++i) EXPECT_NE(h.ask("b" + std::to_string(i), "safe", i + 1), at);
}

TEST(Full, AnAnswerThatConcernsOneClassLeavesTheEndpointToOthers) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("w1", "w")});
  h.ask("a", "safe", 1);
  h.end("a", AttemptStatus::kFull);
  EXPECT_EQ(h.ask("b", "unsafe", 2), "r1");
  h.run(seconds(2));
  EXPECT_EQ(h.ask("c", "safe", 3), "") << "the class turned away rests longer";
  h.end("b", AttemptStatus::kFull);  // now others too: it has no room for anybody
  EXPECT_EQ(h.ask("d", "keyed", 4), "");
  h.run(milliseconds(400));
  EXPECT_EQ(h.out["d"], "r1") << "and is tried again soon";
}

TEST(Full, AStormOfFullAnswersIsNoLateness) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("w1", "w")});
  for (int i = 0; i < 40; ++i) {
    const std::string id = "q" + std::to_string(i);
    h.ask(id, "safe", i + 1);
    if (h.out[id] == "r1") h.end(id, AttemptStatus::kFull);
    h.run(milliseconds(40));
    if (!h.out[id].empty()) h.serve(id);
  }
  EXPECT_TRUE(h.rejected.empty());
}

TEST(Health, OneTimeOutIsEnoughWhileOthersAnswer) {
  Harness h;
  std::vector<EndpointInfo> endpoints = {endpoint("w1", "w")};
  for (int i = 0; i < 20; ++i) endpoints.push_back(endpoint("r" + std::to_string(i), "r"));
  h.list(endpoints);
  warm_up(h);
  const std::string hung = h.ask("first", "safe", 9001);
  h.out["first"] = "";
  EXPECT_TRUE(logged(
      h.pass(AttemptCompleted{"first", hung, 0, AttemptStatus::kTimeout, seconds(2), false, 0, {}, {}}),
      "silent"));
}

TEST(Admission, LateFirstTokensRejectWhatCannotStartInTimeAtOnce) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("w1", "w")});
  for (int i = 0; i < 40; ++i) {  // a queue grows: each answer comes later than wanted
    const std::string id = "q" + std::to_string(i);
    h.pass(h.make(id, "safe", i + 1));
    if (h.ended[id]) break;
    h.run(milliseconds(30));
    if (i >= 4) {
      const std::string done = "q" + std::to_string(i - 4);
      h.end(done, AttemptStatus::kRead, {}, milliseconds(900));
      h.first(done, milliseconds(600));
      h.end(done, AttemptStatus::kServed);
    }
  }
  ASSERT_FALSE(h.rejected.empty());
  EXPECT_EQ(h.attempts[h.rejected[0]], 0) << "refused before any work was spent";
}

TEST(Admission, ATryWhoseClientLeavesBeforeFirstTokensComeNowIsRejected) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("w1", "w")});
  const auto impatient = [&](const std::string& id) {
    Request r = h.make(id, "safe", 9001);
    r.client_deadline = h.now + milliseconds(400);
    h.pass(r);
    return !h.out[id].empty();
  };
  EXPECT_TRUE(impatient("before"));
  h.serve("before");
  for (int i = 0; i < 6; ++i) {  // first tokens come within the objective of 1 s, but not within 0.4 s
    const std::string id = "q" + std::to_string(i);
    h.ask(id, "safe", i + 1);
    h.run(milliseconds(100));
    h.end(id, AttemptStatus::kRead, {}, milliseconds(450));
    h.first(id, milliseconds(100));
    h.end(id, AttemptStatus::kServed);
  }
  EXPECT_FALSE(impatient("after"));
  EXPECT_EQ(h.rejected, std::vector<std::string>{"after"});
  EXPECT_NE(h.ask("patient", "safe", 9002), "") << "who stays long enough is served";
}

TEST(Admission, WhatStandsAtSilentEndpointsIsNoLine) {
  Harness h;
  h.list(twenty_readers());
  warm_up(h);
  h.run(seconds(20));
  for (int i = 0; i < 3; ++i) ASSERT_NE(h.ask("s" + std::to_string(i), "unsafe", 7000 + i), "");
  h.run(milliseconds(3500));
  ASSERT_EQ(h.ask("now", "safe", 9001), "") << "these are a line that came late";
  EXPECT_EQ(h.rejected, std::vector<std::string>{"now"});
  h.run(milliseconds(2600));
  EXPECT_NE(h.ask("later", "safe", 9002), "") << "nothing has moved for two objectives: they are stuck";
}

TEST(Shares, OverShareGivesWayOnlyUnderPressure) {
  Settings s = make_settings();
  s.tenants = {{"small", 1.0}};
  Harness h(s);
  h.list({endpoint("r1", "r"), endpoint("w1", "w")});
  for (int i = 0; i < 20; ++i) {  // far over its share, but no pressure
    Request r = h.make("q" + std::to_string(i), "safe", i + 1);
    r.tenant = "small";
    h.pass(r);
    h.serve(r.id.value());
  }
  EXPECT_TRUE(h.rejected.empty());
}

TEST(Lists, AFailedListIsAskedForAgain) {
  Settings s = make_settings();
  s.polls_endpoint_list = true;
  Harness h(s);
  const auto subscribed = [](const std::vector<Action>& actions) {
    return std::any_of(actions.begin(), actions.end(),
                       [](const Action& a) { return std::holds_alternative<Subscribe>(a); });
  };
  EXPECT_TRUE(subscribed(h.pass(EndpointList{ListKind::kCached, {endpoint("r1", "r")}})));
  EXPECT_FALSE(subscribed(h.pass(EndpointList{ListKind::kFailed, {}})));
  h.now += milliseconds(20);
  EXPECT_TRUE(subscribed(h.pass(TimerExpired{0})));
}

TEST(Logs, ChangesOfStateAreTold) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("w1", "w")});
  EXPECT_TRUE(logged(
      h.pass(EndpointList{ListKind::kDelta, {endpoint("r1", "r", 0, "east", EndpointState::kReady, h.now)}}),
      "restarted"));
}

}  // namespace
}  // namespace dispatcher::routing::testing
