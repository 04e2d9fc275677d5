// Tenant quotas: a quota limits its tenant only when capacity is short.
#include <string>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

TEST(TenantQuota, RequestsOverQuotaAreServedWithoutLatencyPressure) {
  Settings settings = make_settings();
  settings.tenants = {{"small", 1.0}};
  RouterHarness harness(settings);
  harness.update_endpoints({reader("r1"), writer("w1")});
  for (int i = 0; i < 20; ++i) {  // far over its quota, but without latency pressure
    Request request = harness.make_request("q" + std::to_string(i), {.session = i + 1});
    request.tenant = "small";
    harness.submit(request);
    harness.serve(request.id);
  }
  EXPECT_TRUE(harness.rejected().empty());
}

}  // namespace
}  // namespace dispatcher::routing::testing
