#include "routing/tenant_quota.hpp"

#include <algorithm>
#include <utility>

#include "routing/units.hpp"

namespace dispatcher::routing {
namespace {

constexpr double kBurstSeconds = 2;      // bucket size, in seconds of quota
constexpr double kMinBurstRequests = 3;  // smallest bucket size, in requests, even for tiny quotas

}  // namespace

void TenantQuota::apply_settings(const Settings& settings, Time now) {
  std::map<std::string, TokenBucket> buckets;
  for (const Tenant& tenant : settings.tenants) {
    const auto known = buckets_.find(tenant.name);
    const double tokens = known != buckets_.end() ? known->second.tokens : kMinBurstRequests;
    buckets[tenant.name] = {tenant.quota_rps / settings.router_count, tokens, now};
  }
  buckets_ = std::move(buckets);
}

bool TenantQuota::is_over_quota(const std::string& tenant, Time now) {
  const auto it = buckets_.find(tenant);
  if (it == buckets_.end()) return false;
  TokenBucket& bucket = it->second;
  const double capacity = std::max(bucket.rate * kBurstSeconds, kMinBurstRequests);
  bucket.tokens = std::min(capacity, bucket.tokens + to_seconds(now - bucket.updated_at) * bucket.rate);
  bucket.updated_at = now;
  if (bucket.tokens < 1) return true;
  bucket.tokens -= 1;
  return false;
}

}  // namespace dispatcher::routing
