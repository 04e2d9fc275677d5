// Slow start: how many requests an endpoint that has just started gets from one router and from many.
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

// Many routers, each of which sees only its own requests.
class Fleet {
 public:
  Fleet(int router_count, const std::vector<EndpointInfo>& endpoints) {
    for (int number = 0; number < router_count; ++number) {
      Settings settings = make_settings();
      settings.router_count = router_count;
      settings.router_number = number;
      routers_.push_back(std::make_unique<RouterHarness>(settings));
    }
    update_endpoints(endpoints, ListKind::kFull);
  }
  void update_endpoints(const std::vector<EndpointInfo>& endpoints, ListKind kind) {
    for (const auto& router : routers_) router->update_endpoints(endpoints, kind);
  }
  // Each router serves one request and then advances its clock by `interval`. Returns the endpoints that the
  // requests were first sent to.
  std::vector<EndpointId> serve_one_each(Duration interval) {
    std::vector<EndpointId> endpoints;
    for (const auto& router : routers_) {
      ++submitted_;
      const RequestId id = "q" + std::to_string(submitted_);
      endpoints.push_back(router->submit(id, {.session = submitted_}));
      router->serve(id);
      router->advance(interval);
    }
    return endpoints;
  }
  // Returns the number of attempts since the last call, by endpoint.
  std::map<EndpointId, int> take_attempt_counts() {
    std::map<EndpointId, int> counts;
    for (const auto& router : routers_) {
      for (const StartAttempt& start : router->take_started()) ++counts[start.endpoint];
    }
    return counts;
  }
  [[nodiscard]] Time now() const { return routers_.front()->now(); }

 private:
  std::vector<std::unique_ptr<RouterHarness>> routers_;
  int submitted_ = 0;
};

TEST(SlowStart, RestartedEndpointGetsOnlyItsShare) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), writer("w1")});
  for (int i = 0; i < 80; ++i) {  // ten requests a second for eight seconds
    const RequestId id = "q" + std::to_string(i);
    harness.submit(id, {.session = i + 1});
    harness.serve(id);
    harness.advance(milliseconds(100));
  }
  harness.update_endpoints({reader("r2", {.started = harness.now()})}, ListKind::kDelta);
  int to_restarted = 0, submitted = 0;
  for (int i = 0; i < 30; ++i) {
    const RequestId id = "c" + std::to_string(i);
    if (harness.submit(id, {.session = 1000 + i}) == "r2") ++to_restarted;
    ++submitted;
    harness.serve(id);
    harness.advance(milliseconds(100));
  }
  EXPECT_LE(to_restarted, 15);  // less than 0.9 of the warm peer's own share in one window
  EXPECT_EQ(submitted, 30);
}

// 150 routers send about one request per second each to 10 readers. If each limited only itself, each might
// send "just one" request per window to the starting reader.
TEST(SlowStart, ManyRoutersTogetherStayWithinTheBudget) {
  constexpr int kRouters = 150;
  Fleet fleet(kRouters, writers_and_readers(1, 10));
  for (int i = 0; i < 10; ++i) fleet.serve_one_each(seconds(1));
  fleet.update_endpoints({reader("r3", {.started = fleet.now()})}, ListKind::kDelta);
  std::ptrdiff_t sent = 0;
  for (int i = 0; i < 9; ++i) sent += std::ranges::count(fleet.serve_one_each(seconds(1)), EndpointId("r3"));
  const double warm_share = 9.0 * kRouters / 10;  // what a warm reader gets in that time
  EXPECT_GT(sent, 0) << "traffic returns";
  EXPECT_LT(static_cast<double>(sent), 3 * 0.3 * warm_share) << "overload multiple x initial share";
}

// Returns eight readers and eight writers in two cells.
std::vector<EndpointInfo> sixteen_endpoints() {
  std::vector<EndpointInfo> endpoints;
  for (int i = 0; i < 16; ++i) {
    const std::string kind = i < 8 ? "r" : "w";
    endpoints.push_back(make_endpoint(kind + std::to_string(i), kind, {.cell = i % 2}));
  }
  return endpoints;
}

// At one request per two seconds, a router's own budget for a starting endpoint is a fraction of a request:
// 100 routers together must neither starve the endpoint nor overload it. Covers readers and writers in two
// cells, half of each starting.
TEST(SlowStart, ManyRoutersWithFewRequestsGiveStartingEndpointsAFairShare) {
  constexpr int kRouters = 100;
  const std::vector<EndpointInfo> endpoints = sixteen_endpoints();
  Fleet fleet(kRouters, endpoints);
  for (int i = 0; i < 8; ++i) fleet.serve_one_each(seconds(2));
  std::vector<EndpointInfo> restarted;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    if (i / 2 % 2 == 0) continue;
    restarted.push_back(endpoints[i]);
    restarted.back().started = fleet.now();
  }
  fleet.update_endpoints(restarted, ListKind::kDelta);
  fleet.take_attempt_counts();
  for (int i = 0; i < 5; ++i) fleet.serve_one_each(seconds(2));
  std::map<EndpointId, int> sent = fleet.take_attempt_counts();
  const double mean = 5.0 * kRouters / 8;  // attempts per endpoint of a role, starting or warm
  for (const EndpointInfo& starting : restarted) {
    EXPECT_GT(sent[starting.endpoint], mean / 4) << starting.endpoint;
    EXPECT_LT(sent[starting.endpoint], mean * 1.25) << starting.endpoint;
  }
}

TEST(SlowStart, FullResponsesDoNotRaiseTheBudget) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), writer("w1"), writer("w2")});
  harness.update_endpoints({writer("w2", {.started = harness.now()})}, ListKind::kDelta);
  harness.advance(seconds(4));
  int to_restarted = 0;
  for (int i = 0; i < 60; ++i) {
    const RequestId id = "q" + std::to_string(i);
    harness.submit(id, {.session = i + 1});
    harness.complete(id, AttemptStatus::kRead);
    while (harness.is_at(Role::kWriter, id)) {
      if (harness.active_endpoint(id) == "w2") ++to_restarted;
      harness.complete(id, AttemptStatus::kFull);
    }
    harness.advance(milliseconds(50));
  }
  EXPECT_LE(to_restarted, 2);
}

}  // namespace
}  // namespace dispatcher::routing::testing
