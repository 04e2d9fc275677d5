// Whether dispatchers gossip with each other, and how much: what the platform's configuration allows, and
// what the dispatcher's own file says (deploy/fleet.cue).
#ifndef DISPATCHER_GOSSIP_CONFIG_HPP_
#define DISPATCHER_GOSSIP_CONFIG_HPP_

#include <optional>

#include "cue/syntax.hpp"
#include "gossip/node_options.hpp"
#include "gossip/peer_config.hpp"
#include "routing/settings.hpp"

namespace dispatcher::gossip {

// All that the gossip of this process needs.
struct Config {
  NodeOptions options;
  PeerConfig peers;
};

// None: the dispatcher works alone, as the file says so, the peers' configuration does not allow more, or
// there is no other dispatcher. Throws cue::Errors with all that is wrong with the file, and PeerConfigError
// where the peers don't fit the settings.
[[nodiscard]] std::optional<Config> parse_config(const cue::File& file, const routing::Settings& settings,
                                                 const PeerConfig& peers);

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_CONFIG_HPP_
