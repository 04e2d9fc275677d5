#include "routing/region_capacity.hpp"

#include "routing/outlier_detection.hpp"
#include "routing/slow_start.hpp"

namespace dispatcher::routing {

RegionCapacity FleetCapacities::cell_of(const Endpoint& endpoint) const {
  const auto found = cells.find({endpoint.zone, endpoint.cell});
  return found != cells.end() ? found->second : RegionCapacity{};
}

FleetCapacities measure_capacities(const Context& context, const EndpointTable& endpoints, Role writer_role) {
  FleetCapacities capacities;
  for (const auto& [name, endpoint] : endpoints.entries()) {
    if (endpoint.state != EndpointState::kReady || endpoint.is_ejected) continue;
    const double weight =
        endpoint.weight / slowdown(context, endpoint) * effective_capacity(context, endpoint);
    for (RegionCapacity* region : {&capacities.cells[{endpoint.zone, endpoint.cell}], &capacities.all}) {
      if (endpoint.role == Role::kReader) region->readers += weight;
      if (endpoint.role == writer_role) region->writers += weight;
    }
  }
  return capacities;
}

}  // namespace dispatcher::routing
