// Reads from the platform's configuration whether a dispatcher may gossip, and the addresses of its peers.
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
  bool is_allowed = false;                 // whether gossip is allowed; limits.peers of the settings
  std::uint32_t tier = 0;                  // tier of the settings
  std::optional<udp::endpoint> listen;     // peer_listen
  std::vector<udp::endpoint> peers;        // peers: the address of each member, including this one
  std::optional<udp::endpoint> broadcast;  // peers_all: one address that reaches all members
};

// Why a configuration of peers is invalid.
enum class PeerConfigErrorCode : std::uint8_t {
  kInvalidPermission,  // limits.peers is not a boolean
  kInvalidTier,        // tier is not a number, or is too large
  kInvalidAddress,     // the field is not an address and port
  kPeersNotAList,      // peers is not an array
  kListenMissing,      // peer_listen is missing, though gossip is allowed
  kPeerCountMismatch,  // peers does not have one address for each dispatcher
  kDuplicatePeer,      // peers contains an address twice
};

// An error in the configuration of peers, and the field that contains it.
struct PeerConfigProblem {
  PeerConfigErrorCode code{};
  std::string field;               // its path in the configuration, such as peers[1]
  std::size_t expected_count = 0;  // number of dispatchers; set for kPeerCountMismatch
  std::size_t actual_count = 0;    // number of addresses; set for kPeerCountMismatch
};
// Returns one line that names the field and describes the error.
[[nodiscard]] std::string to_text(const PeerConfigProblem& problem);

// Thrown if the peers of a configuration can't be used; what() is the problem's text.
struct PeerConfigError : std::runtime_error {
  explicit PeerConfigError(const PeerConfigProblem& cause)
      : std::runtime_error(to_text(cause)), problem(cause) {}
  PeerConfigProblem problem;
};

// Reads the peers from the platform's complete JSON configuration. If gossip is not allowed, reads nothing
// else. Throws PeerConfigError for the first invalid field.
[[nodiscard]] PeerConfig parse_peer_config(const nlohmann::json& configuration);

// Throws PeerConfigError if the configuration has no listen address, or its peers are not `member_count`
// distinct addresses.
void check_peers(const PeerConfig& config, std::size_t member_count);

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_PEER_CONFIG_HPP_
