// Admission: determines the initial state of a request when it arrives.
#ifndef DISPATCHER_ROUTING_REQUEST_ADMISSION_HPP_
#define DISPATCHER_ROUTING_REQUEST_ADMISSION_HPP_

#include "routing/context.hpp"
#include "routing/prefix_affinity.hpp"
#include "routing/request_state.hpp"
#include "routing/tenant_quota.hpp"

namespace dispatcher::routing {

// Counts arriving requests by tenant and by shared prefix. Owned by one Router and used on its thread.
class RequestAdmission {
 public:
  void apply_settings(const Settings& settings, Time now) { quota_.apply_settings(settings, now); }

  // Returns the state of a request that has just arrived. Takes a token of its tenant's quota and counts its
  // shared prefix. `request_class` is a class of the context's settings. For `reader_count` see
  // EndpointTable::reader_count().
  [[nodiscard]] RequestState admit(const Context& context, const Request& request,
                                   const RequestClass& request_class, double reader_count);

 private:
  TenantQuota quota_;
  PrefixAffinity affinity_;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_REQUEST_ADMISSION_HPP_
