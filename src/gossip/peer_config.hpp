// A dispatcher's peers in the platform's configuration: whether it may gossip, and their addresses.
#ifndef DISPATCHER_GOSSIP_PEER_CONFIG_HPP_
#define DISPATCHER_GOSSIP_PEER_CONFIG_HPP_

#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace dispatcher::gossip {

using boost::asio::ip::udp;

// The peers that the platform's configuration lists.
struct PeerConfig {
  bool is_allowed = false;                 // limits.peers of the settings
  std::uint32_t tier = 0;                  // of the settings
  std::optional<udp::endpoint> listen;     // peer_listen
  std::vector<udp::endpoint> peers;        // by member, this one included
  std::optional<udp::endpoint> broadcast;  // peers_all: one address that reaches all members
};

// Why a configuration of peers is invalid.
enum class PeerConfigErrorCode : std::uint8_t {
  kInvalidPermission,  // limits.peers is no boolean
  kInvalidTier,        // no number, or too large
  kInvalidAddress,     // no address and port; `field` names it
  kPeersNotAList,      // peers is no array
  kListenMissing,      // peer_listen is missing, though gossip is allowed
  kPeerCountMismatch,  // peers has not one address for each dispatcher
  kDuplicatePeer,      // peers has an address twice
};

// An error in the configuration of peers, and the field that it is in.
struct PeerConfigProblem {
  PeerConfigErrorCode code{};
  std::string field;               // as the configuration spells it, such as peers[1]
  std::size_t expected_count = 0;  // kPeerCountMismatch: of dispatchers
  std::size_t actual_count = 0;    // kPeerCountMismatch: of addresses
};
[[nodiscard]] std::string to_text(const PeerConfigProblem& problem);  // one line that names the field

// A configuration whose peers can't be used; what() is the problem's text.
struct PeerConfigError : std::runtime_error {
  explicit PeerConfigError(const PeerConfigProblem& cause)
      : std::runtime_error(to_text(cause)), problem(cause) {}
  PeerConfigProblem problem;
};

// Reads the peers from the platform's complete JSON configuration. Where gossip is not allowed, nothing else
// is read. Throws PeerConfigError for the first invalid field.
[[nodiscard]] PeerConfig parse_peer_config(const nlohmann::json& configuration);

// Throws PeerConfigError where the peers are not those of a fleet of `member_count` dispatchers.
void check_peers(const PeerConfig& config, std::size_t member_count);

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_PEER_CONFIG_HPP_
