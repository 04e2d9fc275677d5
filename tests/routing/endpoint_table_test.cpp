// The endpoint table: endpoint lists and their changes, and endpoints that are draining or removed.
#include <algorithm>
#include <string>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

TEST(EndpointTable, DrainingAndRemovedEndpointsGetNoNewAttempts) {
  for (const EndpointState state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    RouterHarness harness;
    harness.update_endpoints({reader("r1"), reader("r2"), writer("w1"), writer("w2")});
    harness.submit("a");
    harness.update_endpoints({reader("r1", {.state = state}), writer("w1", {.state = state})},
                             ListKind::kDelta);
    harness.complete("a", AttemptStatus::kRead);
    EXPECT_EQ(harness.active_endpoint("a"), "w2");
    for (int i = 0; i < 20; ++i) EXPECT_EQ(harness.submit("b" + std::to_string(i), {.session = i + 1}), "r2");
  }
}

TEST(EndpointTable, EndpointMissingFromAFullListIsRemoved) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), writer("w1")});
  harness.update_endpoints({reader("r2"), writer("w1")});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(harness.submit("b" + std::to_string(i), {.session = i + 1}), "r2");
}

TEST(EndpointTable, FailedListIsRequestedAgainAtTheNextTimer) {
  Settings settings = make_settings();
  settings.polls_endpoint_list = true;
  RouterHarness harness(settings);
  const auto subscribes = [](const std::vector<Action>& actions) {
    return std::ranges::any_of(
        actions, [](const Action& action) { return std::holds_alternative<Subscribe>(action); });
  };
  EXPECT_TRUE(subscribes(harness.handle(EndpointList{ListKind::kCached, {reader("r1")}})));
  EXPECT_FALSE(subscribes(harness.handle(EndpointList{ListKind::kFailed, {}})));
  harness.skip(milliseconds(20));
  EXPECT_TRUE(subscribes(harness.handle(TimerExpired{0})));
}

TEST(EndpointTable, RestartIsLogged) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), writer("w1")});
  const EndpointInfo restarted = reader("r1", {.started = harness.now()});
  EXPECT_TRUE(has_log(harness.handle(EndpointList{ListKind::kDelta, {restarted}}), "restarted"));
}

}  // namespace
}  // namespace dispatcher::routing::testing
