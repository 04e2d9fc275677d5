// What a GossipNode is made with.
#ifndef DISPATCHER_GOSSIP_NODE_OPTIONS_HPP_
#define DISPATCHER_GOSSIP_NODE_OPTIONS_HPP_

#include <cstddef>
#include <cstdint>

#include "membership/membership.hpp"
#include "replicated_state/quota.hpp"

namespace dispatcher::gossip {

using membership::MemberIndex;

// A member's place in its fleet, and the figures of its protocols.
struct NodeOptions {
  MemberIndex self = 0;  // below member_count
  MemberIndex member_count = 1;
  std::uint32_t tier = 0;  // the fleet's: datagrams of another one are dropped
  membership::Parameters membership;
  replicated_state::LendingPolicy lending;
  std::size_t max_entries = 4096;       // stored, of all owners together
  std::int64_t bytes_per_second = 768;  // sent by this member; a broadcast counts for each receiver
  std::int64_t burst_bytes = 16384;     // that unused bytes add up to at most
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_NODE_OPTIONS_HPP_
