#include "gossip/peer_config.hpp"

#include <nlohmann/json.hpp>
#include <set>

#include "net/connection.hpp"

namespace dispatcher::gossip {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kMaxTier = 1000;  // takes at most two bytes on the wire

// Keys of the platform's configuration.
constexpr const char* kSettingsKey = "settings";
constexpr const char* kLimitsKey = "limits";  // within the settings
constexpr const char* kTierKey = "tier";      // within the settings
constexpr const char* kListenKey = "peer_listen";
constexpr const char* kBroadcastKey = "peers_all";
// The list of addresses within the configuration, and the permission to gossip within the limits.
constexpr const char* kPeersKey = "peers";

const Json* find_member(const Json& object, const char* key) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

bool read_permission(const Json& settings) {
  const Json* limits = find_member(settings, kLimitsKey);
  const Json* allowed = limits == nullptr ? nullptr : find_member(*limits, kPeersKey);
  if (allowed == nullptr) return false;
  if (!allowed->is_boolean())
    throw PeerConfigError({PeerConfigErrorCode::kInvalidPermission, "limits.peers", 0, 0});
  return allowed->get<bool>();
}

std::uint32_t read_tier(const Json& settings) {
  const Json* tier = find_member(settings, kTierKey);
  if (tier == nullptr) return 0;
  if (!tier->is_number_unsigned() || tier->get<std::uint64_t>() > kMaxTier)
    throw PeerConfigError({PeerConfigErrorCode::kInvalidTier, kTierKey, 0, 0});
  return tier->get<std::uint32_t>();
}

udp::endpoint read_address(const Json& value, const std::string& field) {
  const auto parsed = value.is_string() ? net::parse_endpoint(value.get<std::string>()) : std::nullopt;
  if (!parsed) throw PeerConfigError({PeerConfigErrorCode::kInvalidAddress, field, 0, 0});
  return {parsed->address(), parsed->port()};
}

std::optional<udp::endpoint> read_optional_address(const Json& configuration, const char* key) {
  const Json* value = find_member(configuration, key);
  if (value == nullptr) return std::nullopt;
  return read_address(*value, key);
}

std::vector<udp::endpoint> read_peers(const Json& configuration) {
  const Json* peers = find_member(configuration, kPeersKey);
  if (peers == nullptr) return {};
  if (!peers->is_array()) throw PeerConfigError({PeerConfigErrorCode::kPeersNotAList, kPeersKey, 0, 0});
  std::vector<udp::endpoint> addresses;
  for (std::size_t i = 0; i < peers->size(); ++i) {
    const std::string field = std::string(kPeersKey) + "[" + std::to_string(i) + "]";
    addresses.push_back(read_address((*peers)[i], field));
  }
  return addresses;
}

std::string describe(const PeerConfigProblem& problem) {
  switch (problem.code) {
    case PeerConfigErrorCode::kInvalidPermission:
      return "true or false expected";
    case PeerConfigErrorCode::kInvalidTier:
      return "number expected";
    case PeerConfigErrorCode::kInvalidAddress:
      return "address and port expected";
    case PeerConfigErrorCode::kPeersNotAList:
      return "list of addresses expected";
    case PeerConfigErrorCode::kListenMissing:
      return "missing, though gossip is allowed";
    case PeerConfigErrorCode::kPeerCountMismatch:
      return std::to_string(problem.expected_count) + " addresses expected, one per dispatcher, not " +
             std::to_string(problem.actual_count);
    case PeerConfigErrorCode::kDuplicatePeer:
      return "an address is listed twice";
  }
  return {};
}

}  // namespace

std::string to_text(const PeerConfigProblem& problem) {
  const bool is_in_settings = problem.code == PeerConfigErrorCode::kInvalidPermission ||
                              problem.code == PeerConfigErrorCode::kInvalidTier;
  const std::string place = is_in_settings ? "settings: " : "";
  return place + "field '" + problem.field + "': " + describe(problem);
}

PeerConfig parse_peer_config(const Json& configuration) {
  PeerConfig config;
  const Json* settings = find_member(configuration, kSettingsKey);
  if (settings == nullptr) return config;
  config.is_allowed = read_permission(*settings);
  if (!config.is_allowed) return config;
  config.tier = read_tier(*settings);
  config.listen = read_optional_address(configuration, kListenKey);
  config.broadcast = read_optional_address(configuration, kBroadcastKey);
  config.peers = read_peers(configuration);
  return config;
}

void check_peers(const PeerConfig& config, std::size_t member_count) {
  if (!config.listen) throw PeerConfigError({PeerConfigErrorCode::kListenMissing, kListenKey, 0, 0});
  const std::size_t count = config.peers.size();
  if (count != member_count)
    throw PeerConfigError({PeerConfigErrorCode::kPeerCountMismatch, kPeersKey, member_count, count});
  const std::set<udp::endpoint> distinct(config.peers.begin(), config.peers.end());
  if (distinct.size() != count) throw PeerConfigError({PeerConfigErrorCode::kDuplicatePeer, kPeersKey, 0, 0});
}

}  // namespace dispatcher::gossip
