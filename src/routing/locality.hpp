// Capacity of cells and zones: how much of what is read in one can also be written there.
#ifndef DISPATCHER_ROUTING_LOCALITY_HPP_
#define DISPATCHER_ROUTING_LOCALITY_HPP_

#include <algorithm>
#include <map>

#include "routing/endpoint.hpp"

namespace dispatcher::routing {

constexpr double kOtherZoneWeight = 0.5;  // of a remote cell that lies in another zone: its link is slower

// The readers and writers of a cell, of a zone or of all, by weight.
struct RegionCapacity {
  double readers = 0, writers = 0;

  [[nodiscard]] double local_write_share(const RegionCapacity& all) const {
    return std::min(1.0, writers * all.readers / std::max(readers * all.writers, 1e-9));
  }
};

using CellCapacities = std::map<CellId, RegionCapacity>;

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_LOCALITY_HPP_
