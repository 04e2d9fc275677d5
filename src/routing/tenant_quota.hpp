// Tenant quotas: a token bucket for each tenant. Each router has an equal part of every quota.
#ifndef DISPATCHER_ROUTING_TENANT_QUOTA_HPP_
#define DISPATCHER_ROUTING_TENANT_QUOTA_HPP_

#include <map>
#include <string>

#include "routing/settings.hpp"

namespace dispatcher::routing {

// Counts the requests of tenants against their quotas. Owned by one Router and used on its thread.
class TenantQuota {
 public:
  // Applies the quotas of these settings. Tenants that were known before keep the tokens in their buckets.
  void apply_settings(const Settings& settings, Time now);
  // Takes a token for a request. Returns whether none was left, i.e. the request is over its tenant's quota.
  // A tenant that is not in the settings has no quota and is never over it.
  [[nodiscard]] bool is_over_quota(const std::string& tenant, Time now);

 private:
  struct TokenBucket {
    double rate = 0;    // requests per second, of this router
    double tokens = 0;  // requests that may arrive at once
    Time updated_at{};  // when tokens were last added
  };
  std::map<std::string, TokenBucket> buckets_;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_TENANT_QUOTA_HPP_
