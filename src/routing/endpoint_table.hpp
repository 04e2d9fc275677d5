// The table of endpoints: applies service discovery's lists and administrative drains, detects restarts, and
// computes which share of an endpoint's reads its own cell and zone can write.
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

// Sums and means over a role's ready endpoints. They are needed because one router sees too little of a
// single endpoint.
struct RoleStatistics {
  double ready = 0, ejected = 0;  // numbers of endpoints
  double queue_delay_ratio_sum = 0;
  double delayed = 0;        // number of endpoints with a queue delay
  double prompt_tokens = 0;  // waiting prompt tokens, mean over the endpoints that report
  double memory_share = 0;   // used part of the prefix cache, mean over the endpoints that report
};

// The endpoints that service discovery lists, and removed ones that still have attempts in flight or waiting
// prompt states. Owned by one Router and used on its thread. Pointers and references to entries stay valid
// until the next list or drain is applied.
class EndpointTable {
 public:
  using Map = std::map<EndpointId, Endpoint>;

  // Applies a received endpoint list. Returns the ids of the endpoints that have restarted.
  [[nodiscard]] std::vector<EndpointId> apply(const EndpointList& list, const Settings& settings, Time now);
  // Applies an administrative drain. Returns whether this changed a known endpoint.
  [[nodiscard]] bool apply(const AdministrativeDrain& drain, Time now);

  // Returns the endpoint, or null if it is not known.
  [[nodiscard]] Endpoint* find(const EndpointId& name);
  [[nodiscard]] const Endpoint* find(const EndpointId& name) const;
  [[nodiscard]] Map& entries() { return endpoints_; }
  [[nodiscard]] const Map& entries() const { return endpoints_; }
  [[nodiscard]] RoleStatistics statistics(Role role) const;
  // Returns the statistics of all roles, indexed by role_index(), in one pass over the endpoints.
  [[nodiscard]] std::array<RoleStatistics, kRoles> statistics_by_role() const;
  // Returns the number of ready endpoints that read prompts: readers and mixed endpoints.
  [[nodiscard]] double reader_count() const { return reader_count_; }
  [[nodiscard]] bool has_mixed_endpoint() const;

 private:
  void mark_all_removed();
  // Adds or updates the endpoint of a list entry. Returns whether it has restarted.
  bool update_entry(const EndpointInfo& info, const EndpointKind& kind, Time now);
  // Erases removed endpoints to which no attempt and no waiting prompt state refers.
  void erase_unused();
  // Returns the listed state, or kDraining if operators took a ready endpoint out of service.
  [[nodiscard]] EndpointState effective_state(const Endpoint& endpoint) const;
  // Recomputes local_write_share, cell_reader_share and the reader count.
  void update_locality();

  Map endpoints_;
  std::set<EndpointId> offline_;  // drained by operators, whether listed or not
  double reader_count_ = 0;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ENDPOINT_TABLE_HPP_
