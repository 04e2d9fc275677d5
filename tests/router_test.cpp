// The ordinary path: scorers, writer choice, mixed servers; and the guards around it.
#include "harness.hpp"

namespace dispatcher::routing::testing {
namespace {

TEST(Scoring, FollowsTheSessionToTheReaderThatHasItsTexts) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("r3", "r"), endpoint("w1", "w")});
  const std::string first = h.ask("a", "safe", 7, 0, 2000);
  h.serve("a");
  for (int i = 0; i < 5; ++i) {
    const std::string id = "b" + std::to_string(i);
    EXPECT_EQ(h.ask(id, "safe", 7, 0, 2200), first);
    h.serve(id);
  }
}

TEST(Scoring, OneJammedReaderDoesNotHideTheLinesOfTheOthers) {
  for (const double worst : {20.0, 600.0}) {  // thousands of tokens that wait at another reader
    Harness h;
    std::vector<EndpointInfo> endpoints = {endpoint("w1", "w")};
    for (int i = 0; i < 12; ++i) endpoints.push_back(endpoint("r" + std::to_string(i), "r"));
    h.list(endpoints);
    const std::string kept = h.ask("a", "safe", 7, 0, 2000);
    h.serve("a");
    // A quarter of the prompt is kept where 100,000 tokens wait: not worth the waiting.
    bool jammed = false;
    for (int i = 0; i < 12; ++i) {
      const std::string at = "r" + std::to_string(i);
      LoadReport load;
      load.memory_share = 0.1;
      load.prompt_kilotokens = at == kept ? 100 : std::exchange(jammed, true) ? 1 : worst;
      h.pass(AttemptCompleted{"elsewhere", at, 0, AttemptStatus::kRead, {}, true, 0, {}, load});
    }
    EXPECT_NE(h.ask("b", "safe", 7, 0, 8000), kept) << "beside " << worst;
  }
}

TEST(Scoring, RoutersSendASessionToTheSamePlaceOfItsSharedText) {
  const std::vector<EndpointInfo> endpoints = {endpoint("r1", "r"), endpoint("r2", "r"), endpoint("r3", "r"),
                                               endpoint("w1", "w")};
  Harness h;
  h.list(endpoints);
  int same = 0;
  for (int i = 0; i < 60; ++i) {
    const std::uint64_t text = 90 + i % 10, session = 700 + i;
    Harness other;  // knows nothing yet
    other.list(endpoints);
    const std::string id = "q" + std::to_string(i);
    const std::string known = h.ask(id, "safe", session, text, 2000, 1800);
    same += known == other.ask(id, "safe", session, text, 2000, 1800) ? 1 : 0;
    h.serve(id);
  }
  EXPECT_GE(same, 48) << "by chance it were 20";
}

TEST(Scoring, AHotTextGetsMorePlaces) {
  std::vector<EndpointInfo> endpoints = {endpoint("w1", "w")};
  for (int i = 0; i < 20; ++i) endpoints.push_back(endpoint("r" + std::to_string(i), "r"));
  const auto places = [&](int texts) {  // readers used by text 90, one of so many
    Harness h;
    h.list(endpoints);
    std::map<std::string, int> used;
    for (int i = 0; i < 400; ++i) {
      const std::string id = "q" + std::to_string(i);
      h.ask(id, "safe", 700 + i, 90 + i % texts, 2000, 1800);
      if (i % texts == 0 && i > 200) ++used[h.out[id]];
      h.serve(id);
    }
    return used.size();
  };
  EXPECT_LE(places(40), 4U);
  EXPECT_GE(places(1), 8U);
}

TEST(Scoring, ARareTextStaysAtTwoPlacesHoweverFewRequestsARouterSees) {
  std::vector<EndpointInfo> endpoints = {endpoint("w1", "w")};
  for (int i = 0; i < 40; ++i) endpoints.push_back(endpoint("r" + std::to_string(i), "r"));
  std::map<std::string, int> used;
  for (int router = 0; router < 30; ++router) {  // each sees the text once, among others as rare
    Settings s = make_settings();
    s.router_count = 150;
    s.router_number = router;
    Harness h(s);
    h.list(endpoints);
    for (int i = 0; i < 30; ++i) {
      h.ask("q" + std::to_string(i), "safe", 1000 * router + i, 500 + 100 * router + i, 2000, 1800);
      h.serve("q" + std::to_string(i));
    }
    ++used[h.ask("last", "safe", 900000 + router, 90, 2000, 1800)];
  }
  EXPECT_LE(used.size(), 2U) << "each copy more pushes another text out of its reader";
}

TEST(Scoring, ReadersWithNoWriterNearWinFewerTies) {
  const auto sends = [](const std::string& zone_of_writer) {  // to the two readers of cell 1, which has none
    Harness h;
    h.list({endpoint("r1", "r", 0), endpoint("r2", "r", 0), endpoint("r3", "r", 1), endpoint("r4", "r", 1),
            endpoint("w1", "w", 0, zone_of_writer), endpoint("w2", "w", 0, zone_of_writer)});
    int count = 0;
    for (int i = 0; i < 400; ++i) {
      const std::string id = "q" + std::to_string(i), at = h.ask(id, "safe", 700 + i);
      count += at == "r3" || at == "r4" ? 1 : 0;
      h.serve(id);
    }
    return count;
  };
  EXPECT_NEAR(sends("east"), 165, 30);  // states leave the cell, not the zone
  EXPECT_NEAR(sends("west"), 200, 30);  // all readers are as far from a writer
}

TEST(Scoring, ManyRoutersAgreeOnAKeyAndSpreadOverAllReaders) {
  std::map<std::string, int> used;
  for (int session = 1; session <= 300; ++session) {
    std::string first;
    for (const int number : {0, 123, 299}) {
      Settings s = make_settings();
      s.router_count = 300;
      s.router_number = number;
      Harness h(s);
      h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("r3", "r"), endpoint("w1", "w")});
      const std::string at = h.ask("q", "safe", session);
      if (first.empty()) ++used[first = at];
      EXPECT_EQ(at, first);
    }
  }
  for (const auto& [name, count] : used) EXPECT_NEAR(count, 100, 35) << name;
}

TEST(Scoring, EqualReadersAreSettledByTheKeyAlike) {
  Harness a, b;
  for (Harness* h : {&a, &b})
    h->list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("r3", "r"), endpoint("w1", "w")});
  std::map<std::string, int> used;
  for (int i = 0; i < 30; ++i) {
    const std::string id = "q" + std::to_string(i);
    const std::string at = a.ask(id, "safe", 100 + i);
    EXPECT_EQ(at, b.ask(id, "safe", 100 + i));
    ++used[at];
    a.serve(id);
    b.serve(id);
  }
  EXPECT_GT(used.size(), 1U) << "the tie must depend on the request's key";
}

TEST(Scoring, ALoadedReaderLosesToAnIdleOne) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("r2", "r"), endpoint("w1", "w")});
  std::map<std::string, int> used;
  for (int i = 0; i < 12; ++i) ++used[h.ask("q" + std::to_string(i), "safe", 500 + i, 0, 6000)];
  EXPECT_GE(used["r1"], 5);
  EXPECT_GE(used["r2"], 5);
}

TEST(Scoring, ReportedMemoryCountsAgainstAReader) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("w1", "w")});
  LoadReport full;
  full.memory_share = 0.95;
  full.prompt_kilotokens = 0;
  h.ask("a", "safe", 1);
  h.end("a", AttemptStatus::kRead, {}, milliseconds(50), full);
  h.first("a");
  h.end("a", AttemptStatus::kServed);
  h.list({endpoint("r2", "r")}, ListKind::kDelta);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "b" + std::to_string(i);
    EXPECT_EQ(h.ask(id, "safe", 50 + i), "r2");
    h.serve(id);
  }
}

TEST(Index, ForgetsTheOldestTextsPastTheMemoryOfTheReader) {
  Settings s = make_settings();
  s.kinds[0].memory_tokens = 8000;
  Harness h(s);
  h.list({endpoint("r1", "r"), endpoint("w1", "w")});
  for (int i = 0; i < 50; ++i) {
    const std::string id = "q" + std::to_string(i);
    h.ask(id, "safe", 100 + i, 0, 2000);
    h.serve(id);
  }
  EXPECT_LE(h.router.table_sizes().index_keys, 4U);
  EXPECT_GE(h.router.table_sizes().index_keys, 1U);
}

TEST(Index, ARestartedReaderHasNothing) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("w1", "w")});
  h.ask("a", "safe", 7);
  h.serve("a");
  EXPECT_EQ(h.router.table_sizes().index_keys, 1U);
  h.list({endpoint("r1", "r", 0, "east", EndpointState::kReady, h.now)}, ListKind::kDelta);
  EXPECT_EQ(h.router.table_sizes().index_keys, 0U);
}

TEST(Writer, PrefersTheReadersCell) {
  Harness h;
  h.list({endpoint("r1", "r", 1), endpoint("w1", "w", 1), endpoint("w2", "w", 2), endpoint("w3", "w", 3)});
  for (int i = 0; i < 2; ++i) {
    const std::string id = "q" + std::to_string(i);
    h.ask(id, "safe", 1 + i);
    h.end(id, AttemptStatus::kRead);
    EXPECT_EQ(h.out[id], "w1");
  }
}

TEST(Writer, LeavesTheCellWhenItsBestStandsWellAboveTheMean) {
  Harness h;
  h.list({endpoint("r1", "r", 1), endpoint("w1", "w", 1), endpoint("w2", "w", 2), endpoint("w3", "w", 3)});
  std::map<std::string, int> used;
  for (int i = 0; i < 12; ++i) {
    const std::string id = "q" + std::to_string(i);
    h.ask(id, "safe", 1 + i);
    h.end(id, AttemptStatus::kRead);
    h.first(id);
    ++used[h.out[id]];
  }
  EXPECT_EQ(used.size(), 3U);
  EXPECT_GT(used["w1"], used["w2"]);
}

TEST(Writer, ManyRoutersLeaveACellOnlyAsMuchAsItsWritersCannotTake) {
  // One cell has three of four readers and one of four writers: about a third of its states may stay. Each
  // router sends one request and so counts no streams at all.
  int stay = 0, of = 0;
  for (int number = 0; number < 400; ++number) {
    Settings s = make_settings();
    s.router_count = 400;
    s.router_number = number;
    Harness h(s);
    h.list({endpoint("r1", "r", 1), endpoint("r2", "r", 1), endpoint("r3", "r", 1), endpoint("r4", "r", 2),
            endpoint("w1", "w", 1), endpoint("w2", "w", 2), endpoint("w3", "w", 2), endpoint("w4", "w", 2)});
    const std::string reader = h.ask("q", "safe", 1000 + number);
    h.end("q", AttemptStatus::kRead);
    if (reader == "r4") {
      EXPECT_NE(h.out["q"], "w1") << "its own cell has room";
      continue;
    }
    ++of;
    stay += h.out["q"] == "w1" ? 1 : 0;
  }
  EXPECT_NEAR(static_cast<double>(stay) / of, 0.4, 0.1);
}

TEST(Mixed, ServesWholeWhatItWins) {
  Harness h;
  h.list({endpoint("m1", "m"), endpoint("w1", "w")});
  EXPECT_EQ(h.ask("a"), "m1");
  h.first("a");
  h.end("a", AttemptStatus::kServed);
  EXPECT_EQ(h.sends.size(), 1U);
}

TEST(Mixed, TakesAReadStateOnlyWithoutAPureWriter) {
  Harness h;
  h.list({endpoint("r1", "r"), endpoint("m1", "m"), endpoint("w1", "w")});
  for (int i = 0; i < 10; ++i) {
    const std::string id = "q" + std::to_string(i);
    if (h.ask(id, "safe", i + 1) != "r1") continue;
    h.end(id, AttemptStatus::kRead);
    EXPECT_EQ(h.out[id], "w1");
  }
}

TEST(Settings, BadOnesAreNamed) {
  const auto fails = [](auto change) {
    Settings s = make_settings();
    change(s);
    EXPECT_THROW(Router(s, 1), std::invalid_argument);
  };
  fails([](Settings& s) { s.kinds.clear(); });
  fails([](Settings& s) { s.classes.clear(); });
  fails([](Settings& s) { s.router_count = 0; });
  fails([](Settings& s) { s.max_attempts = 0; });
  fails([](Settings& s) { s.reservation_limit = milliseconds(-1); });
  fails([](Settings& s) { s.overload_multiple = -1; });
  EXPECT_NO_THROW(Router(make_settings(), 1));
}

TEST(Tables, StayBoundedOverManyRequestsAndEndpoints) {
  Harness h;
  for (int round = 0; round < 40; ++round) {
    const std::string n = std::to_string(round);
    h.list({endpoint("r" + n, "r"), endpoint("w" + n, "w")});
    for (int i = 0; i < 100; ++i) {
      const std::string id = "q" + n + "-" + std::to_string(i);
      h.ask(id, "safe", 1000 * round + i + 1);
      h.serve(id);
      h.run(milliseconds(20));
    }
  }
  EXPECT_EQ(h.router.table_sizes().requests, 0U);
  EXPECT_EQ(h.router.table_sizes().endpoints, 2U);
  EXPECT_LE(h.router.table_sizes().index_keys, 100U);
}

}  // namespace
}  // namespace dispatcher::routing::testing
