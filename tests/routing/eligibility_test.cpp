// Eligibility: an endpoint that answers that it is full gets no requests for a while.
#include <string>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

TEST(Eligibility, FullEndpointGetsNoRequestsForAWhile) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), writer("w1")});
  const EndpointId full = harness.submit("a");
  harness.complete("a", AttemptStatus::kFull);
  EXPECT_NE(harness.active_endpoint("a"), full);
  for (int i = 0; i < 10; ++i) EXPECT_NE(harness.submit("b" + std::to_string(i), {.session = i + 1}), full);
}

TEST(Eligibility, EndpointFullForOneClassStillGetsRequestsOfOthers) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), writer("w1")});
  harness.submit("a", {.session = 1});
  harness.complete("a", AttemptStatus::kFull);
  EXPECT_EQ(harness.submit("b", {.request_class = "unsafe", .session = 2}), "r1");
  harness.advance(seconds(2));
  EXPECT_EQ(harness.submit("c", {.session = 3}), "") << "the pause for a rejected class is longer";
  harness.complete("b", AttemptStatus::kFull);  // a second class is rejected: full for all classes now
  EXPECT_EQ(harness.submit("d", {.request_class = "keyed", .session = 4}), "");
  harness.advance(milliseconds(400));
  EXPECT_EQ(harness.active_endpoint("d"), "r1") << "the pause for all classes is short";
}

}  // namespace
}  // namespace dispatcher::routing::testing
