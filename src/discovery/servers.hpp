// The form in which discovery and the configuration list the replicas.
#ifndef BITTERNFERRY_DISCOVERY_SERVERS_HPP_
#define BITTERNFERRY_DISCOVERY_SERVERS_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "basaltvane/router.hpp"
#include "replica/pool.hpp"

namespace bitternferry::discovery {

struct Servers {
  std::uint64_t seq = 0;
  bool whole = false;
  basaltvane::HostList list;
  std::vector<replica::Address> addresses;
};

// Throws std::invalid_argument naming the field. Fields that are not known here are skipped.
Servers parse_servers(const nlohmann::json& object);
nlohmann::json to_json(const Servers& servers);
// Takes a change, or another whole list, into `all`, which stays whole.
void merge(Servers& all, const Servers& news);

}  // namespace bitternferry::discovery

#endif  // BITTERNFERRY_DISCOVERY_SERVERS_HPP_
