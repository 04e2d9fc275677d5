// Locality: readers with a writer nearby are preferred.
#include <string>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

// Returns how many of 400 requests go to the two readers of cell 1, which has no writer.
int requests_to_readers_without_a_nearby_writer(const std::string& zone_of_writers) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), reader("r2"), reader("r3", {.cell = 1}), reader("r4", {.cell = 1}),
                            writer("w1", {.zone = zone_of_writers}),
                            writer("w2", {.zone = zone_of_writers})});
  int count = 0;
  for (int i = 0; i < 400; ++i) {
    const RequestId id = "q" + std::to_string(i);
    const EndpointId endpoint = harness.submit(id, {.session = 700 + i});
    if (endpoint == "r3" || endpoint == "r4") ++count;
    harness.serve(id);
  }
  return count;
}

TEST(Locality, ReadersWithoutANearbyWriterAreChosenInFewerTies) {
  // Prompt states of these readers are sent to another cell of the same zone.
  EXPECT_NEAR(requests_to_readers_without_a_nearby_writer("east"), 165, 30);
  // All readers are equally far from a writer.
  EXPECT_NEAR(requests_to_readers_without_a_nearby_writer("west"), 200, 30);
}

}  // namespace
}  // namespace dispatcher::routing::testing
