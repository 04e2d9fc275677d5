// Prefix affinity: determines which requests should be sent to the same reader, because it has the prefix of
// their prompts cached.
#ifndef DISPATCHER_ROUTING_PREFIX_AFFINITY_HPP_
#define DISPATCHER_ROUTING_PREFIX_AFFINITY_HPP_

#include <cstddef>
#include <cstdint>
#include <map>

#include "routing/endpoint.hpp"

namespace dispatcher::routing {

// Measures how popular shared prefixes are. Owned by one Router and used on its thread.
class PrefixAffinity {
 public:
  // Counts a request that has arrived with this shared prefix; 0 means that it has none.
  void record(std::uint64_t shared_prefix);
  // Returns the request's affinity key. Requests with equal keys should go to the same reader. For
  // `reader_count` see EndpointTable::reader_count().
  [[nodiscard]] std::uint64_t affinity_key(const Request& request, int router_number,
                                           double reader_count) const;

 private:
  std::map<std::uint64_t, double> popularity_;  // recent requests by shared prefix; older ones count less
  double total_ = 0;                            // sum of the counts, including erased ones
  double discount_ = 0;                         // subtracted from each count, 0 to 1
};

// Returns the size of the endpoint's prefix cache in blocks of kBlockTokens. Returns a typical size if it is
// unknown.
[[nodiscard]] std::size_t max_cached_blocks(const Endpoint& endpoint);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_PREFIX_AFFINITY_HPP_
