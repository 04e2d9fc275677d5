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

// Sums and means over a role's ready endpoints: one router sees too little of a single endpoint.
struct RoleStatistics {
  double ready = 0, ejected = 0;  // numbers of endpoints
  double queue_delay_ratio_sum = 0;
  double delayed = 0;        // endpoints with a queue delay
  double prompt_tokens = 0;  // mean over the endpoints that report
  double memory_share = 0;   // mean over the endpoints that report
};

// The endpoints that service discovery lists, and removed ones with attempts in flight or waiting states.
// Owned by one Router and used on its thread. Pointers and references to entries stay valid until the next
// list or drain is applied.
class EndpointTable {
 public:
  using Map = std::map<EndpointId, Endpoint>;

  // Applies an endpoint list that was received. Returns the names of the endpoints that have restarted.
  [[nodiscard]] std::vector<EndpointId> apply(const EndpointList& list, const Settings& settings, Time now);
  // Applies an operators' drain. Returns whether this changed an endpoint that is known.
  [[nodiscard]] bool apply(const AdministrativeDrain& drain, Time now);

  [[nodiscard]] Endpoint* find(const EndpointId& name);
  [[nodiscard]] const Endpoint* find(const EndpointId& name) const;
  [[nodiscard]] Map& entries() { return endpoints_; }
  [[nodiscard]] const Map& entries() const { return endpoints_; }
  [[nodiscard]] RoleStatistics statistics(Role role) const;
  // The same of all roles, by role_index(), in one pass over the endpoints.
  [[nodiscard]] std::array<RoleStatistics, kRoles> statistics_by_role() const;
  // Number of ready endpoints that read prompts: readers and mixed ones.
  [[nodiscard]] double reader_count() const { return reader_count_; }
  [[nodiscard]] bool has_mixed_endpoint() const;

 private:
  void mark_all_removed();
  // Adds or updates the endpoint of a list entry. Returns whether it has restarted.
  bool update_entry(const EndpointInfo& info, const EndpointKind& kind, Time now);
  // Erases removed endpoints that no attempt and no waiting state refers to.
  void erase_unused();
  // The listed state, or draining if operators took the endpoint out of service.
  [[nodiscard]] EndpointState effective_state(const Endpoint& endpoint) const;
  // Computes local_write_share, cell_reader_share and the reader count anew.
  void update_locality();

  Map endpoints_;
  std::set<EndpointId> offline_;  // drained by operators, whether listed or not
  double reader_count_ = 0;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ENDPOINT_TABLE_HPP_
