// Outlier detection: which failures and latencies eject an endpoint, and how it returns.
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

std::string ejection_message(const EndpointId& endpoint) {
  std::ostringstream text;
  text << "endpoint " << endpoint << " ejected";
  return text.str();
}

TEST(OutlierDetection, ConnectFailureEjectsUntilOneProbingRequestSucceeds) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), writer("w1")});
  const EndpointId ejected = harness.submit("a");
  EXPECT_TRUE(
      has_log(harness.complete("a", AttemptStatus::kConnectFailed, {.elapsed = {}}), "ejected: unreachable"));
  for (int i = 0; i < 10; ++i) {
    const RequestId id = "b" + std::to_string(i);
    EXPECT_NE(harness.submit(id, {.session = i + 1}), ejected);
    harness.serve(id);
  }
  harness.serve("a");
  harness.advance(seconds(2));  // it now gets a single request until that is answered
  std::vector<RequestId> probing;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = "c" + std::to_string(i);
    if (harness.submit(id, {.session = 100 + i}) == ejected) probing.push_back(id);
  }
  EXPECT_EQ(probing.size(), 1U);
  ASSERT_FALSE(probing.empty());
  EXPECT_TRUE(has_log(harness.complete(probing[0], AttemptStatus::kRead), "returned"));
}

// Single connections are reset now and then although their endpoints are healthy. When one reset was enough
// to eject an endpoint, half of a fleet was ejected.
TEST(OutlierDetection, OneResetDoesNotEjectButSeveralInARowDo) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), reader("r3"), writer("w1")});
  std::vector<bool> ejected;
  for (const char* id : {"a", "b", "c"}) {
    const EndpointId endpoint = harness.submit(id, {.session = 1});
    const std::vector<Action> actions = harness.complete(id, AttemptStatus::kReset, {.elapsed = {}});
    ejected.push_back(has_log(actions, ejection_message(endpoint)));
  }
  EXPECT_EQ(ejected, (std::vector<bool>{false, false, true}));
}

// A writer's streams last for many seconds. If it were probed only after their end, a writer that has
// recovered would stay ejected until then.
TEST(OutlierDetection, EjectedWriterIsProbedWhileItsStreamsRun) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), writer("w1"), writer("w2")});
  std::map<EndpointId, int> streams;
  for (int i = 0; i < 8; ++i) {
    const RequestId id = "s" + std::to_string(i);
    harness.submit(id, {.session = i + 1});
    harness.complete(id, AttemptStatus::kRead);
    ++streams[harness.active_endpoint(id)];
    harness.send_first_token(id);
  }
  ASSERT_EQ(streams.size(), 2U);
  bool is_ejected = false;
  for (int i = 0; i < 4 && !is_ejected; ++i) {
    const RequestId id = "e" + std::to_string(i);
    harness.submit(id, {.session = 40 + i});
    harness.complete(id, AttemptStatus::kRead);
    if (harness.active_endpoint(id) != "w1") continue;
    is_ejected = has_log(harness.complete(id, AttemptStatus::kConnectFailed, {.elapsed = {}}), "w1 ejected");
  }
  ASSERT_TRUE(is_ejected);
  harness.advance(seconds(2));
  int probing = 0;
  for (int i = 0; i < 12; ++i) {
    const RequestId id = "n" + std::to_string(i);
    harness.submit(id, {.session = 50 + i});
    harness.complete(id, AttemptStatus::kRead);
    if (harness.active_endpoint(id) == "w1") ++probing;
  }
  EXPECT_EQ(probing, 1);  // a single request, until that is answered
}

TEST(OutlierDetection, NeverEjectsMoreThanHalfOfARole) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), reader("r3"), reader("r4"), writer("w1")});
  int ejected = 0;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = "q" + std::to_string(i);
    if (harness.submit(id, {.session = i + 1}).empty()) continue;
    if (has_log(harness.complete(id, AttemptStatus::kReset, {.elapsed = {}}), "ejected")) ++ejected;
  }
  EXPECT_EQ(ejected, 2);
}

TEST(OutlierDetection, ReadsAtAHungReaderAreCancelledAndRetriedAtOthers) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), reader("r3"), writer("w1"), writer("w2")});
  warm_up(harness);
  const EndpointId hung = harness.submit("first", {.session = 9001});
  int cancelled = 0;
  for (int i = 0; i < 40; ++i) {
    const RequestId id = "q" + std::to_string(i);
    harness.submit(id, {.session = 7000 + i});
    harness.advance(milliseconds(60));
    for (const RequestId& late : harness.take_cancelled()) {
      ++cancelled;
      harness.complete(late, AttemptStatus::kCancelled);
      EXPECT_NE(harness.active_endpoint(late), hung);
    }
    const EndpointId endpoint = harness.active_endpoint(id);
    if (!endpoint.empty() && endpoint != hung) harness.serve(id);
  }
  EXPECT_GE(cancelled, 1);
}

TEST(OutlierDetection, QueueingAtAllEndpointsEjectsNone) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), writer("w1"), writer("w2")});
  warm_up(harness);
  for (int i = 0; i < 12; ++i)
    harness.submit("q" + std::to_string(i), {.request_class = "unsafe", .session = 7000 + i});
  bool is_ejected = false;
  for (int step = 0; step < 100; ++step) {  // all endpoints are equally late
    harness.skip(milliseconds(20));
    is_ejected = has_log(harness.expire_timer(), "ejected") || is_ejected;
  }
  EXPECT_FALSE(is_ejected);
  EXPECT_TRUE(harness.cancelled().empty());
}

TEST(OutlierDetection, IdleEndpointsDoNotMakeBusyOnesOutliers) {
  RouterHarness harness;
  harness.update_endpoints(writers_and_readers(2, 20));
  warm_up(harness);
  std::map<EndpointId, int> requests;
  for (int i = 0; i < 3; ++i) ++requests[harness.submit("q" + std::to_string(i), {.session = 7000 + i})];
  ASSERT_EQ(requests.size(), 3U);
  harness.advance(seconds(3));  // all endpoints that have a request are equally late
  EXPECT_TRUE(harness.cancelled().empty());
}

TEST(OutlierDetection, TimeoutWhileAllEndpointsAreSlowEjectsNone) {
  RouterHarness harness;
  harness.update_endpoints(writers_and_readers(2, 20));
  warm_up(harness);
  for (int i = 0; i < 8; ++i) {  // one request at a time, which is late at any reader
    const RequestId id = "q" + std::to_string(i);
    if (harness.submit(id, {.session = 7000 + i}).empty()) continue;
    harness.advance(milliseconds(300));
    harness.complete(id, AttemptStatus::kRead, {.elapsed = milliseconds(1400)});
    harness.send_first_token(id, milliseconds(200));
  }
  ASSERT_NE(harness.submit("last", {.request_class = "unsafe", .session = 9001}), "");
  const AttemptReport late{.elapsed = milliseconds(2500)};
  EXPECT_FALSE(has_log(harness.complete("last", AttemptStatus::kTimeout, late), "ejected"));
}

TEST(OutlierDetection, OneTimeoutEjectsWhileOthersAnswer) {
  RouterHarness harness;
  harness.update_endpoints(writers_and_readers(1, 20));
  warm_up(harness);
  harness.submit("first", {.session = 9001});
  EXPECT_TRUE(has_log(harness.complete("first", AttemptStatus::kTimeout, {.elapsed = seconds(2)}), "silent"));
}

}  // namespace
}  // namespace dispatcher::routing::testing
