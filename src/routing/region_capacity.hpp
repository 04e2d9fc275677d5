// Capacity of regions: how much the endpoints of a cell, of a zone or of a fleet can read and write, by
// weight. Support: no threshold and no choice.
#ifndef DISPATCHER_ROUTING_REGION_CAPACITY_HPP_
#define DISPATCHER_ROUTING_REGION_CAPACITY_HPP_

#include <algorithm>
#include <map>

#include "routing/context.hpp"
#include "routing/endpoint.hpp"
#include "routing/endpoint_table.hpp"

namespace dispatcher::routing {

// Part of a total that may be zero; the part is zero then, too.
[[nodiscard]] inline double share_of(double part, double total) {
  constexpr double kMinTotal = 1e-9;  // far below every weight; avoids the division by zero
  return part / std::max(total, kMinTotal);
}

// The weights of the readers and writers of a region, added up.
struct RegionCapacity {
  double readers = 0, writers = 0;

  // Part of what the region reads that its own writers can write, if all that is read is written somewhere.
  [[nodiscard]] double local_write_share(const RegionCapacity& all) const {
    return std::min(1.0, share_of(writers * all.readers, readers * all.writers));
  }
};

using CellCapacities = std::map<CellId, RegionCapacity>;

// The capacities of a fleet's cells, and of the fleet.
struct FleetCapacities {
  CellCapacities cells;
  RegionCapacity all;

  // The capacity of the endpoint's cell; zero if no endpoint that was counted is in it.
  [[nodiscard]] RegionCapacity cell_of(const Endpoint& endpoint) const;
};

// What readers, and writers of this role, can do now: ready endpoints that are not ejected, by their weights,
// slowdowns and warm-up.
[[nodiscard]] FleetCapacities measure_capacities(const Context& context, const EndpointTable& endpoints,
                                                 Role writer_role);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_REGION_CAPACITY_HPP_
