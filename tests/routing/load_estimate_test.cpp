// Load estimates: a router's own requests in flight and the load that a reader reports count against the
// reader.
#include <map>
#include <string>
#include <utility>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

TEST(LoadEstimate, IdleReaderIsPreferredToALoadedOne) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), writer("w1")});
  std::map<EndpointId, int> used;
  for (int i = 0; i < 12; ++i) {
    const RequestSpec spec{.session = 500 + i, .prompt_tokens = 6000};
    ++used[harness.submit("q" + std::to_string(i), spec)];
  }
  EXPECT_GE(used["r1"], 5);
  EXPECT_GE(used["r2"], 5);
}

TEST(LoadEstimate, ReportedMemoryCountsAgainstAReader) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), writer("w1")});
  LoadReport full;
  full.memory_share = 0.95;
  full.prompt_kilotokens = 0;
  harness.submit("a", {.session = 1});
  harness.complete("a", AttemptStatus::kRead, {.load = full});
  harness.send_first_token("a");
  harness.complete("a", AttemptStatus::kServed);
  harness.update_endpoints({reader("r2")}, ListKind::kDelta);
  for (int i = 0; i < 6; ++i) {
    const RequestId id = "b" + std::to_string(i);
    EXPECT_EQ(harness.submit(id, {.session = 50 + i}), "r2");
    harness.serve(id);
  }
}

// One reader's long queue (in thousands of prompt tokens) must not stretch the scale of queue lengths so far
// that the queues of the other readers look alike.
TEST(LoadEstimate, OneOverloadedReaderDoesNotHideTheQueuesOfOthers) {
  constexpr int kReaders = 12;
  for (const double longest_queue : {20.0, 600.0}) {
    RouterHarness harness;
    harness.update_endpoints(writers_and_readers(1, kReaders));
    const EndpointId cached_at = harness.submit("a", {.session = 7, .prompt_tokens = 2000});
    harness.serve("a");
    // At the reader that has a quarter of the prompt cached, 100,000 tokens wait: the cached part does not
    // make up for the wait.
    bool has_overloaded_reader = false;
    for (int i = 0; i < kReaders; ++i) {
      const EndpointId endpoint = "r" + std::to_string(i);
      LoadReport load;
      load.memory_share = 0.1;
      load.prompt_kilotokens = 1;
      if (endpoint == cached_at) {
        load.prompt_kilotokens = 100;
      } else if (!std::exchange(has_overloaded_reader, true)) {
        load.prompt_kilotokens = longest_queue;
      }
      harness.report_load(endpoint, load);
    }
    EXPECT_NE(harness.submit("b", {.session = 7, .prompt_tokens = 8000}), cached_at)
        << "beside a queue of " << longest_queue;
  }
}

}  // namespace
}  // namespace dispatcher::routing::testing
