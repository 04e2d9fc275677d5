// Load shedding: requests that cannot start in time are rejected before any work is spent on them.
#include <string>
#include <vector>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

// Completes both stages of a request, each after the given time.
void serve_late(RouterHarness& harness, const RequestId& id, milliseconds read_time,
                milliseconds first_token_time) {
  harness.complete(id, AttemptStatus::kRead, {.elapsed = read_time});
  harness.send_first_token(id, first_token_time);
  harness.complete(id, AttemptStatus::kServed);
}

TEST(LoadShedding, RequestsThatCannotStartInTimeAreRejectedWhenFirstTokensAreLate) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), writer("w1")});
  for (int i = 0; i < 40; ++i) {  // a queue grows, and each first token is later than its objective
    const RequestId id = "q" + std::to_string(i);
    harness.submit(id, {.session = i + 1});
    if (harness.request(id).is_over) break;
    harness.advance(milliseconds(30));
    if (i >= 4) serve_late(harness, "q" + std::to_string(i - 4), milliseconds(900), milliseconds(600));
  }
  ASSERT_FALSE(harness.rejected().empty());
  EXPECT_EQ(harness.request(harness.rejected()[0]).attempt_count, 0) << "rejected before any work was spent";
}

TEST(LoadShedding, RequestWhoseDeadlineIsTooEarlyForAFirstTokenIsRejected) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), writer("w1")});
  const auto is_short_deadline_request_sent = [&](const RequestId& id) {
    Request request = harness.make_request(id, {.session = 9001});
    request.client_deadline = harness.now() + milliseconds(400);
    return !harness.submit(request).empty();
  };
  EXPECT_TRUE(is_short_deadline_request_sent("before"));
  harness.serve("before");
  for (int i = 0; i < 6; ++i) {  // first tokens arrive within the objective of 1 s, but not within 0.4 s
    const RequestId id = "q" + std::to_string(i);
    harness.submit(id, {.session = i + 1});
    harness.advance(milliseconds(100));
    serve_late(harness, id, milliseconds(450), milliseconds(100));
  }
  EXPECT_FALSE(is_short_deadline_request_sent("after"));
  EXPECT_EQ(harness.rejected(), std::vector<RequestId>{"after"});
  EXPECT_NE(harness.submit("patient", {.session = 9002}), "")
      << "a request whose client waits long enough is sent";
}

TEST(LoadShedding, RequestsAtSilentEndpointsDoNotCountAsQueued) {
  RouterHarness harness;
  harness.update_endpoints(writers_and_readers(2, 20));
  warm_up(harness);
  harness.advance(seconds(20));
  for (int i = 0; i < 3; ++i) {
    const RequestSpec spec{.request_class = "unsafe", .session = 7000 + i};
    ASSERT_NE(harness.submit("s" + std::to_string(i), spec), "");
  }
  harness.advance(milliseconds(3500));
  ASSERT_EQ(harness.submit("now", {.session = 9001}), "")
      << "requests past their objective still count as queued";
  EXPECT_EQ(harness.rejected(), std::vector<RequestId>{"now"});
  harness.advance(milliseconds(2600));
  EXPECT_NE(harness.submit("later", {.session = 9002}), "")
      << "requests without a first token after twice their objective do not count as queued";
}

TEST(LoadShedding, FullResponsesDoNotCountAsLatency) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), writer("w1")});
  for (int i = 0; i < 40; ++i) {
    const RequestId id = "q" + std::to_string(i);
    harness.submit(id, {.session = i + 1});
    if (harness.active_endpoint(id) == "r1") harness.complete(id, AttemptStatus::kFull);
    harness.advance(milliseconds(40));
    if (!harness.active_endpoint(id).empty()) harness.serve(id);
  }
  EXPECT_TRUE(harness.rejected().empty());
}

}  // namespace
}  // namespace dispatcher::routing::testing
