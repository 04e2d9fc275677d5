// Locality: the cost of the distance between the endpoints that read and write a request.
#ifndef DISPATCHER_ROUTING_LOCALITY_HPP_
#define DISPATCHER_ROUTING_LOCALITY_HPP_

namespace dispatcher::routing {

// Weight of a remote cell in another zone, relative to a remote cell in the same zone. It is lower because
// the link to another zone is slower.
constexpr double kOtherZoneWeight = 0.5;

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_LOCALITY_HPP_
