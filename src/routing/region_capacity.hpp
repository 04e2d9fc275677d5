// Region capacity: how much the endpoints of a cell, a zone or a fleet can read and write, by weight.
// Contains no thresholds and no decisions.
#ifndef DISPATCHER_ROUTING_REGION_CAPACITY_HPP_
#define DISPATCHER_ROUTING_REGION_CAPACITY_HPP_

#include <algorithm>
#include <map>

#include "routing/context.hpp"
#include "routing/endpoint.hpp"
#include "routing/endpoint_table.hpp"

namespace dispatcher::routing {

// Returns the share of `part` in `total`. If the total is zero, the part is zero too, and so is the share.
[[nodiscard]] inline double share_of(double part, double total) {
  constexpr double kMinTotal = 1e-9;  // far below every weight; avoids a division by zero
  return part / std::max(total, kMinTotal);
}

// The sums of the weights of a region's readers and writers.
struct RegionCapacity {
  double readers = 0, writers = 0;

  // Returns the share of the region's reads that its own writers can write, if all reads of the fleet are
  // written somewhere.
  [[nodiscard]] double local_write_share(const RegionCapacity& all) const {
    return std::min(1.0, share_of(writers * all.readers, readers * all.writers));
  }
};

using CellCapacities = std::map<CellId, RegionCapacity>;

// The capacities of a fleet's cells and of the whole fleet.
struct FleetCapacities {
  CellCapacities cells;
  RegionCapacity all;

  // Returns the capacity of the endpoint's cell, zero if no counted endpoint is in that cell.
  [[nodiscard]] RegionCapacity cell_of(const Endpoint& endpoint) const;
};

// Returns the current capacities of readers and of endpoints of `writer_role`. Counts ready endpoints that
// are not ejected, by their weights, slowdowns and warm-up.
[[nodiscard]] FleetCapacities measure_capacities(const Context& context, const EndpointTable& endpoints,
                                                 Role writer_role);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_REGION_CAPACITY_HPP_
