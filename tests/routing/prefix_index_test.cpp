// The index of cached prefixes: it drops the prefixes that a reader has evicted or lost.
#include <string>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

TEST(PrefixIndex, DropsTheOldestPrefixesBeyondTheReadersMemory) {
  Settings settings = make_settings();
  settings.kinds[0].memory_tokens = 8000;
  RouterHarness harness(settings);
  harness.update_endpoints({reader("r1"), writer("w1")});
  for (int i = 0; i < 50; ++i) {
    const RequestId id = "q" + std::to_string(i);
    harness.submit(id, {.session = 100 + i, .prompt_tokens = 2000});
    harness.serve(id);
  }
  EXPECT_LE(harness.table_sizes().index_keys, 4U);
  EXPECT_GE(harness.table_sizes().index_keys, 1U);
}

TEST(PrefixIndex, RestartedReaderHasNoPrefixes) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), writer("w1")});
  harness.submit("a", {.session = 7});
  harness.serve("a");
  EXPECT_EQ(harness.table_sizes().index_keys, 1U);
  harness.update_endpoints({reader("r1", {.started = harness.now()})}, ListKind::kDelta);
  EXPECT_EQ(harness.table_sizes().index_keys, 0U);
}

}  // namespace
}  // namespace dispatcher::routing::testing
