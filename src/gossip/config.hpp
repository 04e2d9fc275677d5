// Whether dispatchers talk to each other, and how much: what the platform's configuration allows, and what
// our own file says (deploy/fleet.cue).
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
using membership::Number;

// What the platform's configuration says of it.
struct Links {
  bool allowed = false;  // limits.peers of the settings
  std::uint32_t tier = 0;
  std::optional<udp::endpoint> listen;    // peer_listen
  std::vector<udp::endpoint> peers;       // by number, our own included
  std::optional<udp::endpoint> everyone;  // peers_all: one address that reaches all
};
// From the whole JSON configuration. Where talk is not allowed nothing else is looked at. Throws
// std::runtime_error naming the field.
Links parse_links(const nlohmann::json& configuration);

// What the pure parts need.
struct Options {
  Number self = 0, count = 1;
  std::uint32_t tier = 0;
  membership::Parameters swim;
  replicated_state::Terms rights;
  std::size_t rows = 4096;              // kept at most, of all owners together
  std::int64_t bytes_per_second = 768;  // sent by this member, each receiver of a datagram to all counted
  std::int64_t burst_bytes = 16384;
};

struct Config {
  Options options;
  Links links;
};

// None: the dispatcher works alone, as the file says, the links do not allow more, or there is no other.
// Throws cue::Errors with all that is wrong with the file, and std::runtime_error where the links don't
// fit the settings.
std::optional<Config> parse_config(const cue::File& file, const routing::Settings& settings,
                                   const Links& links);

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_CONFIG_HPP_
