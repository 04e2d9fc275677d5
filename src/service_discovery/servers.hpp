// The form in which discovery and the configuration list the replicas.
#ifndef DISPATCHER_SERVICE_DISCOVERY_SERVERS_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_SERVERS_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "routing/router.hpp"
#include "upstream/pool.hpp"

namespace dispatcher::service_discovery {

struct Servers {
  std::uint64_t seq = 0;
  bool whole = false;
  routing::HostList list;
  std::vector<upstream::Address> addresses;
};

// Throws std::invalid_argument naming the field. Fields that are not known here are skipped.
Servers parse_servers(const nlohmann::json& object);
nlohmann::json to_json(const Servers& servers);
// Takes a change, or another whole list, into `all`, which stays whole.
void merge(Servers& all, const Servers& news);

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_SERVERS_HPP_
