// Prefix affinity: which requests should be sent to the same reader, because it has their prompts' prefix
// cached.
#ifndef DISPATCHER_ROUTING_PREFIX_AFFINITY_HPP_
#define DISPATCHER_ROUTING_PREFIX_AFFINITY_HPP_

#include <cstddef>
#include <cstdint>
#include <map>

#include "routing/endpoint.hpp"

namespace dispatcher::routing {

// Counts how popular shared prefixes are. Owned by one Router and used on its thread.
class PrefixAffinity {
 public:
  // Counts a request that has arrived with this shared prefix; 0: none.
  void record(std::uint64_t shared_prefix);
  // Requests with equal keys should go to the same reader. `reader_count`: see EndpointTable.
  [[nodiscard]] std::uint64_t affinity_key(const Request& request, int router_number,
                                           double reader_count) const;

 private:
  std::map<std::uint64_t, double> popularity_;  // recent requests by shared prefix, older ones halved
  double total_ = 0;                            // sum of the counts, with the erased ones
  double discount_ = 0;                         // subtracted from each count, 0 to 1
};

// The size of the endpoint's prefix cache, in blocks of kBlockTokens; a usual size if it is unknown.
[[nodiscard]] std::size_t max_cached_blocks(const Endpoint& endpoint);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_PREFIX_AFFINITY_HPP_
