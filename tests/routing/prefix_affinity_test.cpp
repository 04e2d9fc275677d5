// Prefix affinity: requests of one session or shared prefix go to the same few readers, on every router.
#include <map>
#include <string>
#include <vector>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

TEST(PrefixAffinity, SessionReturnsToTheReaderThatHasItsPrefix) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), reader("r3"), writer("w1")});
  const EndpointId first = harness.submit("a", {.session = 7, .prompt_tokens = 2000});
  harness.serve("a");
  for (int i = 0; i < 5; ++i) {
    const RequestId id = "b" + std::to_string(i);
    EXPECT_EQ(harness.submit(id, {.session = 7, .prompt_tokens = 2200}), first);
    harness.serve(id);
  }
}

TEST(PrefixAffinity, RoutersAgreeOnTheReaderOfASharedPrefix) {
  const std::vector<EndpointInfo> endpoints = {reader("r1"), reader("r2"), reader("r3"), writer("w1")};
  RouterHarness harness;
  harness.update_endpoints(endpoints);
  int agreed = 0;
  for (int i = 0; i < 60; ++i) {
    const RequestSpec spec{
        .session = 700 + i, .shared_prefix = 90 + i % 10, .prompt_tokens = 2000, .prefix_tokens = 1800};
    RouterHarness new_router;  // has served no request yet
    new_router.update_endpoints(endpoints);
    const RequestId id = "q" + std::to_string(i);
    const EndpointId expected = harness.submit(id, spec);
    if (new_router.submit(id, spec) == expected) ++agreed;
    harness.serve(id);
  }
  EXPECT_GE(agreed, 48) << "by chance, 20 would agree";
}

// Returns the number of readers that get the requests of one of `prefix_count` equally popular prefixes.
std::size_t readers_of_one_prefix(int prefix_count) {
  RouterHarness harness;
  harness.update_endpoints(writers_and_readers(1, 20));
  std::map<EndpointId, int> used;
  for (int i = 0; i < 400; ++i) {
    const RequestId id = "q" + std::to_string(i);
    harness.submit(id, {.session = 700 + i,
                        .shared_prefix = 90 + i % prefix_count,
                        .prompt_tokens = 2000,
                        .prefix_tokens = 1800});
    if (i % prefix_count == 0 && i > 200) ++used[harness.active_endpoint(id)];
    harness.serve(id);
  }
  return used.size();
}

TEST(PrefixAffinity, PopularPrefixGetsMoreReaders) {
  EXPECT_LE(readers_of_one_prefix(40), 4U);
  EXPECT_GE(readers_of_one_prefix(1), 8U);
}

TEST(PrefixAffinity, RarePrefixStaysAtTwoReadersEvenIfEachRouterSeesFewRequests) {
  const std::vector<EndpointInfo> endpoints = writers_and_readers(1, 40);
  std::map<EndpointId, int> used;
  for (int router = 0; router < 30; ++router) {  // each sees the prefix once, among others that are as rare
    Settings settings = make_settings();
    settings.router_count = 150;
    settings.router_number = router;
    RouterHarness harness(settings);
    harness.update_endpoints(endpoints);
    for (int i = 0; i < 30; ++i) {
      const RequestId id = "q" + std::to_string(i);
      harness.submit(id, {.session = 1000 * router + i,
                          .shared_prefix = 500 + 100 * router + i,
                          .prompt_tokens = 2000,
                          .prefix_tokens = 1800});
      harness.serve(id);
    }
    ++used[harness.submit(
        "last",
        {.session = 900000 + router, .shared_prefix = 90, .prompt_tokens = 2000, .prefix_tokens = 1800})];
  }
  EXPECT_LE(used.size(), 2U) << "each further copy evicts another prefix from its reader";
}

}  // namespace
}  // namespace dispatcher::routing::testing
