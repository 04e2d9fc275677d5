// Whether dispatchers gossip with each other, and how much: what the platform's configuration allows, and
// what the dispatcher's own file says (deploy/fleet.cue).
#ifndef DISPATCHER_GOSSIP_CONFIG_HPP_
#define DISPATCHER_GOSSIP_CONFIG_HPP_

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <vector>

#include "cue/syntax.hpp"
#include "membership/membership.hpp"
#include "replicated_state/bounded_counter.hpp"
#include "routing/router.hpp"

namespace dispatcher::gossip {

using boost::asio::ip::udp;
using membership::MemberIndex;

// What the platform's configuration says about peers.
struct PeerConfig {
  bool is_allowed = false;  // limits.peers of the settings
  std::uint32_t tier = 0;
  std::optional<udp::endpoint> listen;     // peer_listen
  std::vector<udp::endpoint> peers;        // by member, this one included
  std::optional<udp::endpoint> broadcast;  // peers_all: one address that reaches all members
};

// Reads the whole JSON configuration. Where gossip is not allowed nothing else is looked at. Throws
// std::runtime_error naming the field that is wrong.
[[nodiscard]] PeerConfig parse_peer_config(const nlohmann::json& configuration);

// What a GossipNode needs.
struct NodeOptions {
  MemberIndex self = 0;
  MemberIndex member_count = 1;
  std::uint32_t tier = 0;
  membership::Parameters membership;
  replicated_state::LendingPolicy lending;
  std::size_t max_entries = 4096;       // stored, of all owners together
  std::int64_t bytes_per_second = 768;  // sent by this member; a broadcast counts for each receiver
  std::int64_t burst_bytes = 16384;
};

// All that the gossip of this process needs.
struct Config {
  NodeOptions options;
  PeerConfig peers;
};

// None: the dispatcher works alone, as the file says so, the peers' configuration does not allow more, or
// there is no other dispatcher. Throws cue::Errors with all that is wrong with the file, and
// std::runtime_error where the peers don't fit the settings.
[[nodiscard]] std::optional<Config> parse_config(const cue::File& file, const routing::Settings& settings,
                                                 const PeerConfig& peers);

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_CONFIG_HPP_
