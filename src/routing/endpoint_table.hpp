// The table of endpoints: service discovery's list, restarts, administrative drains, zones and cells.
#ifndef DISPATCHER_ROUTING_ENDPOINT_TABLE_HPP_
#define DISPATCHER_ROUTING_ENDPOINT_TABLE_HPP_

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "routing/endpoint.hpp"
#include "routing/units.hpp"

namespace dispatcher::routing {

// What a role's ready endpoints show together: one endpoint alone shows one router too little.
struct RoleStatistics {
  double ready = 0, ejected = 0;
  double queue_delay_ratio_sum = 0;
  double delayed = 0;        // endpoints with a queue delay
  double prompt_tokens = 0;  // mean of the reported ones
  double memory_share = 0;   // mean of the reported ones
};

// Owned by one Router and used on its thread. Pointers and references to entries stay valid until the
// next list or drain is applied.
class EndpointTable {
 public:
  using Map = std::map<EndpointId, Endpoint>;

  // Returns the names of the endpoints that have restarted.
  [[nodiscard]] std::vector<EndpointId> apply(const EndpointList& list, const Settings& settings, Time now);
  // Returns whether this changed an endpoint that is known.
  [[nodiscard]] bool apply(const AdministrativeDrain& drain, Time now);

  [[nodiscard]] Endpoint* find(const EndpointId& name);
  [[nodiscard]] const Endpoint* find(const EndpointId& name) const;
  [[nodiscard]] Map& entries() { return endpoints_; }
  [[nodiscard]] const Map& entries() const { return endpoints_; }
  [[nodiscard]] RoleStatistics statistics(Role role) const;
  // Of all roles, by role_index(), in one pass over the endpoints.
  [[nodiscard]] std::array<RoleStatistics, kRoles> statistics_by_role() const;
  // Ready endpoints that read prompts.
  [[nodiscard]] double reader_count() const { return reader_count_; }
  [[nodiscard]] bool has_mixed_endpoint() const;

 private:
  [[nodiscard]] EndpointState effective_state(const Endpoint& endpoint) const;
  void update_locality();

  Map endpoints_;
  std::set<EndpointId> offline_;  // by the operators' word, whether listed or not
  double reader_count_ = 0;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ENDPOINT_TABLE_HPP_
