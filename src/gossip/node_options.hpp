// The construction parameters of a GossipNode.
#ifndef DISPATCHER_GOSSIP_NODE_OPTIONS_HPP_
#define DISPATCHER_GOSSIP_NODE_OPTIONS_HPP_

#include <cstddef>
#include <cstdint>

#include "membership/membership.hpp"
#include "replicated_state/quota.hpp"

namespace dispatcher::gossip {

using membership::MemberIndex;

// A member's index in its fleet, and the parameters of its protocols.
struct NodeOptions {
  MemberIndex self = 0;  // below member_count
  MemberIndex member_count = 1;
  std::uint32_t tier = 0;  // the fleet's: datagrams of another one are dropped
  membership::Parameters membership;
  replicated_state::LendingPolicy lending;
  std::size_t max_entries = 4096;       // stored, of all owners together
  std::int64_t bytes_per_second = 768;  // that this member sends; a broadcast counts for each receiver
  std::int64_t burst_bytes = 16384;     // the maximum that unused bytes accrue to
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_NODE_OPTIONS_HPP_
