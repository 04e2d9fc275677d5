// The construction parameters of a GossipNode.
#ifndef DISPATCHER_GOSSIP_NODE_OPTIONS_HPP_
#define DISPATCHER_GOSSIP_NODE_OPTIONS_HPP_

#include <cstddef>
#include <cstdint>

#include "membership/membership.hpp"
#include "replicated_state/quota.hpp"

namespace dispatcher::gossip {

using membership::MemberIndex;

// The options of one member: its index in the fleet, and the parameters of its protocols.
struct NodeOptions {
  MemberIndex self = 0;  // less than member_count
  MemberIndex member_count = 1;
  std::uint32_t tier = 0;  // the fleet's tier; datagrams of another tier are dropped
  membership::Parameters membership;
  replicated_state::LendingPolicy lending;
  std::size_t max_entries = 4096;       // maximum number of stored entries, of all owners together
  std::int64_t bytes_per_second = 768;  // sent by this member; a broadcast counts once for each receiver
  std::int64_t burst_bytes = 16384;     // maximum number of unused bytes that accumulate
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_NODE_OPTIONS_HPP_
