// The life cycle of a request: it gets one final answer in time, and the prompt state held for it is
// released.
#include <vector>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

TEST(RequestLifecycle, PromptStateWithoutAWriterIsReleasedInTime) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), writer("w1")});
  harness.submit("a");
  harness.update_endpoints({writer("w1", {.state = EndpointState::kRemoved})}, ListKind::kDelta);
  harness.complete("a", AttemptStatus::kRead);
  EXPECT_TRUE(harness.request("a").holds_prompt_state);
  harness.advance(milliseconds(280));
  EXPECT_FALSE(harness.request("a").holds_prompt_state);
  EXPECT_EQ(harness.rejected(), std::vector<RequestId>{"a"});
}

TEST(RequestLifecycle, ClientDisconnectCancelsTheAttemptAndReleasesThePromptState) {
  RouterHarness harness;
  harness.update_endpoints(make_endpoints());
  harness.submit("a");
  harness.disconnect_client("a");
  EXPECT_EQ(harness.cancelled(), std::vector<RequestId>{"a"});
  harness.complete("a", AttemptStatus::kRead);
  EXPECT_FALSE(harness.request("a").holds_prompt_state);
  EXPECT_EQ(harness.table_sizes().requests, 0U);
}

TEST(RequestLifecycle, RequestWithoutEndpointsIsAnsweredBeforeTheDeadline) {
  for (const char* request_class : {"safe", "unsafe", "keyed"}) {
    RouterHarness harness;
    harness.submit("a", {.request_class = request_class});
    harness.advance(seconds(6) - milliseconds(20));
    EXPECT_EQ(harness.rejected().size() + harness.failed().size(), 1U);
  }
}

TEST(RequestLifecycle, WaitingRequestIsSentOnceEndpointsAreKnown) {
  RouterHarness harness;
  harness.submit("a");
  harness.update_endpoints(make_endpoints());
  harness.advance(milliseconds(40));
  EXPECT_NE(harness.active_endpoint("a"), "");
}

TEST(RequestLifecycle, RequestWhoseReadFailsNearTheDeadlineIsAnsweredAtOnce) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), writer("w1")});
  harness.submit("a");
  harness.skip(seconds(6) - milliseconds(5));
  harness.complete("a", AttemptStatus::kTimeout);
  EXPECT_EQ(harness.rejected(), std::vector<RequestId>{"a"});
}

TEST(RequestLifecycle, RequestOfUnknownClassFailsAndRepeatedIdIsIgnored) {
  RouterHarness harness;
  harness.update_endpoints(make_endpoints());
  harness.submit("a", {.request_class = "no such class"});
  EXPECT_EQ(harness.failed(), std::vector<RequestId>{"a"});
  harness.submit("b");
  const std::size_t started = harness.started().size();
  harness.submit("b");
  EXPECT_EQ(harness.started().size(), started);
}

TEST(RequestLifecycle, UnsolicitedEventsChangeNothing) {
  RouterHarness harness;
  harness.update_endpoints(make_endpoints());
  harness.submit("a");
  const std::size_t started = harness.started().size();
  harness.handle(AttemptCompleted{"unknown", "r1", 0, AttemptStatus::kRead, {}, false, 0, {}, {}});
  harness.handle(AttemptCompleted{"a", "r1", 7, AttemptStatus::kRead, {}, false, 0, {}, {}});
  harness.handle(FirstToken{"a", "nowhere", 3, {}});
  harness.handle(ClientGone{"unknown"});
  harness.handle(TimerExpired{12345});
  harness.handle(ReservationResult{"unknown", "w1", ReservationOutcome::kReserved});
  EXPECT_EQ(harness.started().size(), started);
  EXPECT_TRUE(harness.rejected().empty() && harness.failed().empty() && harness.released().empty());
}

}  // namespace
}  // namespace dispatcher::routing::testing
