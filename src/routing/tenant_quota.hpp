// Tenant quotas: a token bucket for each tenant.
#ifndef DISPATCHER_ROUTING_TENANT_QUOTA_HPP_
#define DISPATCHER_ROUTING_TENANT_QUOTA_HPP_

#include <map>
#include <string>

#include "routing/settings.hpp"

namespace dispatcher::routing {

// Owned by one Router and used on its thread.
class TenantQuota {
 public:
  // Tenants that were known before keep what is left in their buckets.
  void apply_settings(const Settings& settings, Time now);
  // Takes a request's token. Returns whether there was none left: the request is over its tenant's quota. An
  // unknown tenant has no quota and is never over it.
  [[nodiscard]] bool is_over_quota(const std::string& tenant, Time now);

 private:
  struct TokenBucket {
    double rate = 0;    // requests per second, of this router
    double tokens = 0;  // requests that may come at once
    Time updated_at{};
  };
  std::map<std::string, TokenBucket> buckets_;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_TENANT_QUOTA_HPP_
