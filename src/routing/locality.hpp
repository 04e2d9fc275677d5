// Locality: what the distance between the endpoints that read and write a request costs.
#ifndef DISPATCHER_ROUTING_LOCALITY_HPP_
#define DISPATCHER_ROUTING_LOCALITY_HPP_

namespace dispatcher::routing {

// Weight of a remote cell that lies in another zone, relative to one in the same zone: its link is slower.
constexpr double kOtherZoneWeight = 0.5;

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_LOCALITY_HPP_
