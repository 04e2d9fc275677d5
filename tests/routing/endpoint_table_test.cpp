// Endpoints that drain or are gone get nothing new. No server speed is modelled.
#include "harness.hpp"

namespace dispatcher::routing::testing {
namespace {

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

}  // namespace
}  // namespace dispatcher::routing::testing
