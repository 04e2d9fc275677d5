// The five rules, by class and stage, and seeded sequences of legal events. No server speed is modelled.
#include <random>
#include <set>

#include "harness.hpp"

namespace dispatcher::routing::testing {
namespace {

std::vector<EndpointInfo> fleet() {
  return {endpoint("r1", "r", 1), endpoint("r2", "r", 2), endpoint("w1", "w", 1), endpoint("w2", "w", 2),
          endpoint("w3", "w", 3, "west")};
}

TEST(Effects, ALostReadIsRepeatedEvenForUnsafe) {
  for (const AttemptStatus v :
       {AttemptStatus::kError, AttemptStatus::kTimeout, AttemptStatus::kReset, AttemptStatus::kCancelled}) {
    Harness h;
    h.list(fleet());
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
    h.list(fleet());
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
    h.list(fleet());
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
  h.list(fleet());
  h.ask("a", "unsafe");
  h.end("a", AttemptStatus::kRead);
  h.end("a", AttemptStatus::kFull, 1);
  EXPECT_TRUE(h.out["a"].starts_with("r"));
}

TEST(Effects, KeyedStaysInItsGroupAndWindow) {
  Harness h;
  h.list(fleet());
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
    h.list(fleet());
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
  h.list(fleet());
  h.ask("a", "keyed-all");
  h.end("a", AttemptStatus::kRead);
  h.end("a", AttemptStatus::kError);
  EXPECT_EQ(h.rejected, std::vector<std::string>{"a"});
}

TEST(Drains, NothingNewAfterTheDispatcherWasTold) {
  for (const EndpointState state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    Harness h;
    h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("w1", "w"), endpoint("w2", "w")});
    h.ask("a");
    h.list({endpoint("r1", "r", 0, "east", state), endpoint("w1", "w", 0, "east", state)}, ListKind::kDelta);
    h.end("a", AttemptStatus::kRead);
    EXPECT_EQ(h.out["a"], "w2");
    for (int i = 0; i < 20; ++i) EXPECT_EQ(h.ask("b" + std::to_string(i), "safe", i + 1), "r2");
  }
}

TEST(Drains, AEndpointMissingFromAFullListIsGone) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("w1", "w")});
  h.list({endpoint("r2", "r"), endpoint("w1", "w")});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(h.ask("b" + std::to_string(i), "safe", i + 1), "r2");
}

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
  h.list(fleet());
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
  h.list(fleet());
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
  h.list(fleet());
  h.ask("a", "no such class");
  EXPECT_EQ(h.failed, std::vector<std::string>{"a"});
  h.ask("b");
  const std::size_t sent = h.sends.size();
  h.pass(h.make("b"));
  EXPECT_EQ(h.sends.size(), sent);
}

TEST(Answers, EventsThatNobodyAskedForChangeNothing) {
  Harness h;
  h.list(fleet());
  h.ask("a");
  const std::size_t sent = h.sends.size();
  h.pass(AttemptCompleted{"unknown", "r1", 0, AttemptStatus::kRead, {}, false, 0, {}});
  h.pass(AttemptCompleted{"a", "r1", 7, AttemptStatus::kRead, {}, false, 0, {}});
  h.pass(FirstToken{"a", "nowhere", 3, {}});
  h.pass(ClientGone{"unknown"});
  h.pass(TimerExpired{12345});
  h.pass(ReservationResult{"unknown", "w1", true});
  EXPECT_EQ(h.sends.size(), sent);
  EXPECT_TRUE(h.rejected.empty() && h.failed.empty() && h.released.empty());
}

using Fleet = std::vector<std::unique_ptr<Harness>>;
Fleet make_fleet(int routers, const std::vector<EndpointInfo>& endpoints) {
  Fleet fleet;
  for (int n = 0; n < routers; ++n) {
    Settings s = make_settings();
    s.router_count = routers;
    s.router_number = n;
    fleet.push_back(std::make_unique<Harness>(s));
    fleet.back()->list(endpoints);
  }
  return fleet;
}

TEST(Cold, ARestartedEndpointGetsOnlyItsPart) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("w1", "w")});
  for (int i = 0; i < 80; ++i) {  // ten requests a second for eight seconds
    const std::string id = "q" + std::to_string(i);
    h.ask(id, "safe", i + 1);
    h.serve(id);
    h.run(milliseconds(100));
  }
  h.list({endpoint("r2", "r", 0, "east", EndpointState::kReady, h.now)}, ListKind::kDelta);
  int cold = 0, all = 0;
  for (int i = 0; i < 30; ++i) {
    const std::string id = "c" + std::to_string(i);
    cold += h.ask(id, "safe", 1000 + i) == "r2" ? 1 : 0;
    ++all;
    h.serve(id);
    h.run(milliseconds(100));
  }
  EXPECT_LE(cold, 15);  // below 0.9 of the warm peer's own part in one window
  EXPECT_EQ(all, 30);
}

TEST(Cold, ManyRoutersTogetherStayWithinTheBudget) {
  // 150 routers at about one request a second over 10 readers: alone, each might send "just one" in a window.
  constexpr int kRouters = 150;
  std::vector<EndpointInfo> endpoints = {endpoint("w1", "w")};
  for (int i = 0; i < 10; ++i) endpoints.push_back(endpoint("r" + std::to_string(i), "r"));
  const auto routers = make_fleet(kRouters, endpoints);
  int id = 0;
  const auto second = [&](bool count) {
    int to_cold = 0;
    for (auto& h : routers) {
      const std::string name = "q" + std::to_string(++id);
      to_cold += h->ask(name, "safe", static_cast<std::uint64_t>(id)) == "r3" && count ? 1 : 0;
      h->serve(name);
      h->run(seconds(1));
    }
    return to_cold;
  };
  for (int i = 0; i < 10; ++i) second(false);
  for (auto& h : routers)
    h->list({endpoint("r3", "r", 0, "east", EndpointState::kReady, h->now)}, ListKind::kDelta);
  int sent = 0;
  for (int i = 0; i < 9; ++i) sent += second(true);
  const double warm_share = 9.0 * kRouters / 10;  // what a warm reader gets in that time
  EXPECT_GT(sent, 0) << "traffic returns";
  EXPECT_LT(sent, 3 * 0.3 * warm_share) << "multiple x cold share";
}

// At one request in two seconds a router's own budget at a cold replica is a fraction of a request: 100 of
// them must neither starve the replica nor push it over. Reads and writes, in two cells, half of each cold.
TEST(Cold, ManyRoutersWithFewRequestsGiveColdReplicasAFairPart) {
  constexpr int kRouters = 100;
  std::vector<EndpointInfo> endpoints, started;
  for (int i = 0; i < 16; ++i)
    endpoints.push_back(endpoint((i < 8 ? "r" : "w") + std::to_string(i), i < 8 ? "r" : "w", i % 2));
  const auto routers = make_fleet(kRouters, endpoints);
  int id = 0;
  const auto two_seconds = [&] {
    for (auto& h : routers) {
      const std::string name = "q" + std::to_string(++id);
      h->ask(name, "safe", static_cast<std::uint64_t>(id));
      h->serve(name);
      h->run(seconds(2));
    }
  };
  for (int i = 0; i < 8; ++i) two_seconds();
  for (int i = 0; i < 16; ++i) {
    if (i / 2 % 2 == 0) continue;
    started.push_back(endpoint(endpoints[static_cast<std::size_t>(i)].endpoint, i < 8 ? "r" : "w", i % 2,
                               "east", EndpointState::kReady, routers[0]->now));
  }
  for (auto& h : routers) h->list(started, ListKind::kDelta), h->sends.clear();
  for (int i = 0; i < 5; ++i) two_seconds();
  std::map<std::string, int> sent;
  for (auto& h : routers) {
    for (const StartAttempt& send : h->sends) ++sent[send.endpoint];
  }
  const double mean = 5.0 * kRouters / 8;  // of a role, cold and warm
  for (const EndpointInfo& cold : started) {
    EXPECT_GT(sent[cold.endpoint], mean / 4) << cold.endpoint;
    EXPECT_LT(sent[cold.endpoint], mean * 1.25) << cold.endpoint;
  }
}

TEST(Cold, FullAnswersDoNotRaiseTheBudget) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("w1", "w"), endpoint("w2", "w")});
  h.list({endpoint("w2", "w", 0, "east", EndpointState::kReady, h.now)}, ListKind::kDelta);
  h.run(seconds(4));
  int cold = 0;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "q" + std::to_string(i);
    h.ask(id, "safe", i + 1);
    h.end(id, AttemptStatus::kRead);
    while (h.out[id].starts_with("w")) {
      cold += h.out[id] == "w2" ? 1 : 0;
      h.end(id, AttemptStatus::kFull);
    }
    h.run(milliseconds(50));
  }
  EXPECT_LE(cold, 2);
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
      h.end("a", AttemptStatus::kConnectFailed, 0, milliseconds(1));
    if (!one_lives) return knocks;
    EXPECT_FALSE(h.ended["a"]);
    h.end("a", AttemptStatus::kRead);
    for (; !h.ended["a"] && h.attempts["a"] < 20; h.end("a", AttemptStatus::kConnectFailed, 0, writer_fails))
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
      h.pass(AttemptCompleted{"a", "m1", 0, AttemptStatus::kConnectFailed, {}, false, 0, {}});
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

// Seeded sequences of legal events. The harness checks each action; this adds the rules on time and effects.
class Sequences : public ::testing::TestWithParam<int> {};

TEST_P(Sequences, KeepTheRules) {
  std::mt19937 random(static_cast<unsigned>(GetParam()));
  const auto upto = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
  Settings s = make_settings();
  s.max_attempts = 2 + upto(5);
  s.may_cancel = upto(3) != 0;
  s.writers_read = upto(4) == 0;
  Harness h(s);
  const std::vector<std::string> names{"r1", "r2", "r3", "w1", "w2", "w3", "m1"};
  const std::vector<std::string> classes{"safe", "unsafe", "keyed", "keyed-all"};
  std::map<std::string, std::string> cls;
  std::map<std::string, Time> deadline, idle;
  std::map<std::string, bool> ran;
  std::map<std::string, EndpointState> state;
  std::size_t sends_seen = 0;
  int asked = 0;
  const auto audit = [&] {
    for (; sends_seen < h.sends.size(); ++sends_seen) {
      const StartAttempt& sent = h.sends[sends_seen];
      EXPECT_EQ(state[sent.endpoint], EndpointState::kReady) << "sent to a host that drains or is gone";
      EXPECT_LE(h.attempts[sent.request], s.max_attempts);
      if (cls[sent.request] == "unsafe") {
        EXPECT_FALSE(ran[sent.request]) << "second effect";
      }
    }
    for (const std::string& id : h.rejected) {
      if (cls[id] == "unsafe" || cls[id] == "keyed") {
        EXPECT_FALSE(ran[id]) << "refused though it may have run";
      }
    }
    for (const auto& [id, held] : h.held) {
      if (held && h.out[id].empty()) {
        EXPECT_LE(h.now, idle[id] + s.reservation_limit) << "pinned";
      }
    }
    for (const auto& [id, until] : deadline) {
      if (!h.ended[id] && h.out[id].empty()) {
        EXPECT_LE(h.now, until + s.answer_slack) << "no answer in time";
      }
    }
  };
  const auto set_state = [&](const std::string& name, EndpointState to) {
    state[name] = to;
    h.list({endpoint(name, name.substr(0, 1), name[1] - '0', name[1] == '3' ? "west" : "east", to,
                     upto(3) == 0 ? h.now : Time{})},
           ListKind::kDelta);
  };
  for (const std::string& n : names) set_state(n, EndpointState::kReady);
  for (int step = 0; step < 1500; ++step) {
    h.now += milliseconds(4);
    if (step % 5 == 0 && std::exchange(h.timer, false)) h.pass(TimerExpired{0});
    std::vector<std::string> out;
    for (const auto& [id, at] : h.out) {
      if (!at.empty()) out.push_back(id);
    }
    audit();
    const int what = upto(20);
    if (what < 5) {
      const std::string id = "q" + std::to_string(asked++);
      cls[id] = classes[static_cast<std::size_t>(upto(4))];
      Request r = h.make(id, cls[id], 1 + upto(9), upto(4), 500 + upto(3000), 300);
      r.client_deadline = h.now + milliseconds(200 + upto(3000));
      deadline[id] = r.client_deadline;
      h.pass(r);
    } else if (what < 7) {
      set_state(names[static_cast<std::size_t>(upto(7))], upto(3) == 0   ? EndpointState::kRemoved
                                                          : upto(3) == 0 ? EndpointState::kDraining
                                                                         : EndpointState::kReady);
    }
    audit();
    for (const std::string& id : out) {
      audit();
      const bool overdue = h.now >= deadline[id] && !deadline.empty();
      if (!overdue && upto(12) != 0) continue;
      const bool reader = h.out[id].starts_with("r");
      idle[id] = h.now;
      if (h.ended[id]) {
        h.end(id, reader && upto(2) == 0 ? AttemptStatus::kRead : AttemptStatus::kCancelled);
        continue;
      }
      static constexpr AttemptStatus kBad[] = {AttemptStatus::kError, AttemptStatus::kFull,
                                               AttemptStatus::kConnectFailed, AttemptStatus::kReset};
      const AttemptStatus bad = overdue ? AttemptStatus::kTimeout : kBad[upto(4)];
      const bool cancelled = std::find(h.cancelled.begin(), h.cancelled.end(), id) != h.cancelled.end();
      if (overdue || upto(3) == 0) {
        const bool proof = bad == AttemptStatus::kFull || bad == AttemptStatus::kConnectFailed;
        if (!reader && !proof) ran[id] = true;
        const int note = bad == AttemptStatus::kFull && !reader && upto(2) == 0 ? 1 : 0;
        if (note == 1 || (!reader && bad != AttemptStatus::kFull && upto(2) == 0)) h.held[id] = false;
        h.end(id, bad, note);
      } else if (reader) {
        h.end(id, cancelled ? AttemptStatus::kCancelled : AttemptStatus::kRead, upto(500));
      } else if (upto(6) == 0 && !cancelled) {
        h.ended[id] = true;
        h.held[id] = false;
        h.pass(ClientGone{id});
      } else {
        deadline.erase(id);
        h.first(id);
        h.end(id, AttemptStatus::kServed);
      }
    }
    audit();
    if (::testing::Test::HasFailure()) FAIL() << "step " << step << " of seed " << GetParam();
  }
  EXPECT_GT(h.sends.size(), 100U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Sequences, ::testing::Range(1, 25));

}  // namespace
}  // namespace dispatcher::routing::testing
