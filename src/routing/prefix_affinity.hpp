// Prefix affinity: which requests should share a reader, and what of a prompt a reader has cached.
#ifndef DISPATCHER_ROUTING_PREFIX_AFFINITY_HPP_
#define DISPATCHER_ROUTING_PREFIX_AFFINITY_HPP_

#include <cstdint>
#include <map>

#include "routing/endpoint.hpp"
#include "routing/request_state.hpp"

namespace dispatcher::routing {

// How popular shared prefixes are. Owned by one Router and used on its thread.
class PrefixAffinity {
 public:
  // A request with this shared prefix came; 0: none.
  void record(std::uint64_t shared_prefix);
  // Requests with equal keys should go to the same reader.
  [[nodiscard]] std::uint64_t affinity_key(const Request& request, int router_number,
                                           double reader_count) const;

 private:
  std::map<std::uint64_t, double> popularity_;  // recent requests by shared prefix
  double total_ = 0;
  double discount_ = 0;  // of each count
};

// The key of a session's prompts; a session has another one after another shared prefix.
[[nodiscard]] std::uint64_t session_key(const Request& request);

// Prompt tokens of the request that the reader is expected to have in its prefix cache.
[[nodiscard]] int cached_tokens(const Endpoint& endpoint, const RequestState& state);

// The request's prompt is sent to the endpoint, which caches it.
void record_cached_prompt(Endpoint& endpoint, const RequestState& state);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_PREFIX_AFFINITY_HPP_
