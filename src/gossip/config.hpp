// Determines whether dispatchers gossip with each other, and with which parameters. The platform's
// configuration must permit gossip; the dispatcher's own file (deploy/fleet.cue) enables it and sets the
// parameters.
#ifndef DISPATCHER_GOSSIP_CONFIG_HPP_
#define DISPATCHER_GOSSIP_CONFIG_HPP_

#include <optional>

#include "cue/syntax.hpp"
#include "gossip/node_options.hpp"
#include "gossip/peer_config.hpp"
#include "routing/settings.hpp"

namespace dispatcher::gossip {

// The configuration of this process's GossipNode and UdpTransport.
struct Config {
  NodeOptions options;
  PeerConfig peers;
};

// Returns nullopt if the dispatcher does not gossip, because the file disables gossip, the platform's
// configuration does not permit it, or there is no other dispatcher. Throws cue::Errors with all problems of
// the file, and PeerConfigError if the peers don't match the settings.
[[nodiscard]] std::optional<Config> parse_config(const cue::File& file, const routing::Settings& settings,
                                                 const PeerConfig& peers);

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_CONFIG_HPP_
