// The form in which discovery and the configuration list the replicas.
#ifndef DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_SNAPSHOT_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_SNAPSHOT_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "routing/router.hpp"
#include "upstream/endpoint.hpp"

namespace dispatcher::service_discovery {

struct EndpointSnapshot {
  std::uint64_t seq = 0;
  bool whole = false;
  routing::EndpointList list;
  std::vector<upstream::EndpointAddress> addresses;
};

// Throws std::invalid_argument naming the field. Fields that are not known here are skipped.
EndpointSnapshot parse_servers(const nlohmann::json& object);
nlohmann::json to_json(const EndpointSnapshot& servers);
// Takes a change, or another whole list, into `all`, which stays whole.
void merge(EndpointSnapshot& all, const EndpointSnapshot& news);

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_SNAPSHOT_HPP_
