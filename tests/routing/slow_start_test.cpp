// Slow start: how much a started replica gets, of one router and of many. No server speed is modelled.
#include "harness.hpp"

namespace dispatcher::routing::testing {
namespace {

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
    started.push_back(endpoint(endpoints[static_cast<std::size_t>(i)].endpoint.value(), i < 8 ? "r" : "w",
                               i % 2, "east", EndpointState::kReady, routers[0]->now));
  }
  for (auto& h : routers) h->list(started, ListKind::kDelta), h->sends.clear();
  for (int i = 0; i < 5; ++i) two_seconds();
  std::map<std::string, int> sent;
  for (auto& h : routers) {
    for (const StartAttempt& send : h->sends) ++sent[send.endpoint.value()];
  }
  const double mean = 5.0 * kRouters / 8;  // of a role, cold and warm
  for (const EndpointInfo& cold : started) {
    EXPECT_GT(sent[cold.endpoint.value()], mean / 4) << cold.endpoint;
    EXPECT_LT(sent[cold.endpoint.value()], mean * 1.25) << cold.endpoint;
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

}  // namespace
}  // namespace dispatcher::routing::testing
