// Selection of the endpoint that reads a prompt: ties, agreement between routers, mixed endpoints.
#include <map>
#include <string>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

TEST(ReaderSelection, ManyRoutersAgreeOnASessionAndSpreadOverAllReaders) {
  std::map<EndpointId, int> used;
  for (int session = 1; session <= 300; ++session) {
    EndpointId first;
    for (const int number : {0, 123, 299}) {
      Settings settings = make_settings();
      settings.router_count = 300;
      settings.router_number = number;
      RouterHarness harness(settings);
      harness.update_endpoints({reader("r1"), reader("r2"), reader("r3"), writer("w1")});
      const EndpointId endpoint = harness.submit("q", {.session = session});
      if (first.empty()) {
        first = endpoint;
        ++used[first];
      }
      EXPECT_EQ(endpoint, first);
    }
  }
  for (const auto& [endpoint, count] : used) EXPECT_NEAR(count, 100, 35) << endpoint;
}

TEST(ReaderSelection, AllRoutersBreakTiesByTheRequestsKeyInTheSameWay) {
  RouterHarness harness, other;
  for (RouterHarness* each : {&harness, &other})
    each->update_endpoints({reader("r1"), reader("r2"), reader("r3"), writer("w1")});
  std::map<EndpointId, int> used;
  for (int i = 0; i < 30; ++i) {
    const RequestId id = "q" + std::to_string(i);
    const EndpointId endpoint = harness.submit(id, {.session = 100 + i});
    EXPECT_EQ(endpoint, other.submit(id, {.session = 100 + i}));
    ++used[endpoint];
    harness.serve(id);
    other.serve(id);
  }
  EXPECT_GT(used.size(), 1U) << "the tie must depend on the request's key";
}

TEST(ReaderSelection, MixedEndpointServesBothStagesOfItsRequests) {
  RouterHarness harness;
  harness.update_endpoints({mixed("m1"), writer("w1")});
  EXPECT_EQ(harness.submit("a"), "m1");
  harness.send_first_token("a");
  harness.complete("a", AttemptStatus::kServed);
  EXPECT_EQ(harness.started().size(), 1U);
}

}  // namespace
}  // namespace dispatcher::routing::testing
