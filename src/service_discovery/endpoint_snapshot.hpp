// The JSON form in which service discovery, the configuration and a hot restart list the endpoints.
#ifndef DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_SNAPSHOT_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_SNAPSHOT_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "routing/router.hpp"
#include "upstream/endpoint.hpp"

namespace dispatcher::service_discovery {

// The endpoints, or those that changed, at one version of service discovery's list.
struct EndpointSnapshot {
  std::uint64_t version = 0;  // grows with each change; 0: unknown
  bool is_complete = false;   // all endpoints, else only those that changed
  routing::EndpointList list;
  std::vector<upstream::EndpointAddress> addresses;  // one for each of list.entries, in the same order
};

// Throws std::invalid_argument that names the field. Unknown fields are ignored.
[[nodiscard]] EndpointSnapshot parse_endpoint_snapshot(const nlohmann::json& object);
[[nodiscard]] nlohmann::json to_json(const EndpointSnapshot& snapshot);
// Replaces `snapshot` by an update that is complete, or applies the changes to it. `snapshot` stays complete.
void apply_update(EndpointSnapshot& snapshot, const EndpointSnapshot& update);

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_SNAPSHOT_HPP_
