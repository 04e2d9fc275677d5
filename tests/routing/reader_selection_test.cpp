// Selection of the endpoint that reads a prompt: ties, agreement between routers, mixed endpoints.
#include <map>
#include <set>
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

TEST(ReaderSelection, TiesAreBrokenByTheRequestsKeyAlikeOnAllRouters) {
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

// Where a router receives few reports it must not prefer the few readers that it knows, others than its peers
// do: a session's requests would read its prompt at many readers.
TEST(ReaderSelection, UnobservedReaderIsTriedByItsOwnKeysAlikeOnAllRouters) {
  constexpr int kSessions = 90;
  const auto sessions_at_unobserved = [](const EndpointId& idle, const EndpointId& busy) {
    std::set<int> sessions;
    for (int session = 1; session <= kSessions; ++session) {
      RouterHarness harness;
      harness.update_endpoints({reader("r1"), reader("r2"), reader("r3"), writer("w1")});
      harness.report_load(idle, {.in_flight = {}, .memory_share = 0, .prompt_kilotokens = 10});
      harness.report_load(busy, {.in_flight = {}, .memory_share = 0, .prompt_kilotokens = 30});
      const EndpointId chosen = harness.submit("q", {.session = session});
      if (chosen == "r3") sessions.insert(session);
      EXPECT_NE(chosen, busy);
    }
    return sessions;
  };
  const std::set<int> sessions = sessions_at_unobserved("r1", "r2");
  EXPECT_EQ(sessions, sessions_at_unobserved("r2", "r1"));
  EXPECT_NEAR(static_cast<double>(sessions.size()), kSessions / 3.0, 15);
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
