// The router as a whole: invalid settings are rejected, and its tables stay bounded.
#include <stdexcept>
#include <string>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

TEST(Router, RejectsInvalidSettings) {
  const auto expect_rejected = [](auto change) {
    Settings settings = make_settings();
    change(settings);
    EXPECT_THROW(Router(settings, 1), std::invalid_argument);
  };
  expect_rejected([](Settings& settings) { settings.kinds.clear(); });
  expect_rejected([](Settings& settings) { settings.classes.clear(); });
  expect_rejected([](Settings& settings) { settings.router_count = 0; });
  expect_rejected([](Settings& settings) { settings.max_attempts = 0; });
  expect_rejected([](Settings& settings) { settings.reservation_limit = milliseconds(-1); });
  expect_rejected([](Settings& settings) { settings.overload_multiple = -1; });
  EXPECT_NO_THROW(Router(make_settings(), 1));
}

TEST(Router, TablesStayBoundedOverManyRequestsAndEndpoints) {
  RouterHarness harness;
  for (int round = 0; round < 40; ++round) {
    const std::string number = std::to_string(round);
    harness.update_endpoints({reader("r" + number), writer("w" + number)});
    for (int i = 0; i < 100; ++i) {
      const RequestId id = "q" + number + "-" + std::to_string(i);
      harness.submit(id, {.session = 1000 * round + i + 1});
      harness.serve(id);
      harness.advance(milliseconds(20));
    }
  }
  EXPECT_EQ(harness.table_sizes().requests, 0U);
  EXPECT_EQ(harness.table_sizes().endpoints, 2U);
  EXPECT_LE(harness.table_sizes().index_keys, 100U);
}

}  // namespace
}  // namespace dispatcher::routing::testing
