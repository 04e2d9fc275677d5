#include "gossip/config.hpp"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "cue/schema.hpp"
#include "net/connection.hpp"

namespace dispatcher::gossip {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kMaxTier = 1000;  // two bytes on the wire

// deploy/fleet.cue; its keys are older than the names in the code.
constexpr std::string_view kSchema = R"cue(
#Fleet: {
	share: *false | bool // false: each dispatcher works alone
	members: {
		period_ms:           *1_000 | (int & >=100 & <=60_000)
		probe_timeout_ms:    *250 | (int & >=60 & <=10_000) // at least a round trip; below a third of the period
		helpers:             *3 | (int & >=0 & <=8)
		suspicion_periods:   *3.0 | (number & >=1 & <=20)   // times log10 of the count: the shortest wait
		suspicion_stretch:   *4.0 | (number & >=1 & <=20)   // the longest wait, in shortest ones
		confirmations:       *3 | (int & >=0 & <=8)
		spread:              *4.0 | (number & >=1 & <=16)
		call_every_periods:  *4 | (int & >=1 & <=60)
	}
	bytes: {
		per_second: *768 | (int & >=64 & <=65_536) // sent by one member; each receiver counts
		burst:      *16_384 | (int & >=1_024 & <=1_048_576)
	}
	rows: *4_096 | (int & >=64 & <=65_536) // kept, of all members together
	rights: {
		lend:     *true | bool
		lease_ms: *10_000 | (int & >=1_000 & <=15_000)
		kept:     *0.5 | (number & >=0 & <=1)        // part of its share that a member never lends
		drift:    *0.001 | (number & >=0 & <=0.05)   // most by which a clock's rate is off
	}
}
)cue";

udp::endpoint read_endpoint(const Json& value, const std::string& field) {
  const auto parsed = value.is_string() ? net::parse_endpoint(value.get<std::string>()) : std::nullopt;
  if (!parsed) throw std::runtime_error("field '" + field + "': address and port expected");
  return {parsed->address(), parsed->port()};
}

const Json* member(const Json& object, const char* field) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

std::uint32_t read_tier(const Json& settings) {
  const Json* tier = member(settings, "tier");
  if (tier == nullptr) return 0;
  if (!tier->is_number_unsigned() || tier->get<std::uint64_t>() > kMaxTier)
    throw std::runtime_error("settings: field 'tier': number expected");
  return tier->get<std::uint32_t>();
}

membership::Duration ms(const cue::Data& data) { return std::chrono::milliseconds(data.integer()); }

membership::Parameters read_members(const cue::Data& data) {
  membership::Parameters parameters;
  parameters.probe_interval = ms(data["period_ms"]);
  parameters.probe_timeout = ms(data["probe_timeout_ms"]);
  parameters.indirect_probes = static_cast<unsigned>(data["helpers"].integer());
  parameters.suspicion_multiplier = data["suspicion_periods"].real();
  parameters.suspicion_max_multiplier = data["suspicion_stretch"].real();
  parameters.required_confirmations = static_cast<unsigned>(data["confirmations"].integer());
  parameters.retransmit_multiplier = data["spread"].real();
  parameters.reconnect_every = static_cast<unsigned>(data["call_every_periods"].integer());
  return parameters;
}

replicated_state::LendingPolicy read_lending(const cue::Data& data) {
  replicated_state::LendingPolicy policy;
  policy.lending_enabled = data["lend"].flag();
  policy.lease = ms(data["lease_ms"]);
  policy.reserved_fraction = data["kept"].real();
  policy.max_drift = data["drift"].real();
  return policy;
}

void check(const PeerConfig& config, const routing::Settings& settings) {
  const auto count = static_cast<std::size_t>(settings.router_count);
  if (!config.listen) throw std::runtime_error("field 'peer_listen': missing, though talk is allowed");
  if (config.peers.size() != count)
    throw std::runtime_error("field 'peers': " + std::to_string(count) +
                             " addresses expected, one a dispatcher, not " +
                             std::to_string(config.peers.size()));
  if (std::set<udp::endpoint>(config.peers.begin(), config.peers.end()).size() != count)
    throw std::runtime_error("field 'peers': an address stands twice");
}

std::vector<udp::endpoint> read_peers(const Json& peers) {
  if (!peers.is_array()) throw std::runtime_error("field 'peers': list of addresses expected");
  std::vector<udp::endpoint> endpoints;
  for (std::size_t i = 0; i < peers.size(); ++i)
    endpoints.push_back(read_endpoint(peers[i], "peers[" + std::to_string(i) + "]"));
  return endpoints;
}

}  // namespace

PeerConfig parse_peer_config(const Json& configuration) {
  PeerConfig config;
  const Json* settings = member(configuration, "settings");
  if (settings == nullptr) return config;
  const Json* limits = member(*settings, "limits");
  const Json* allowed = limits == nullptr ? nullptr : member(*limits, "peers");
  if (allowed != nullptr && !allowed->is_boolean())
    throw std::runtime_error("settings: field 'limits.peers': true or false expected");
  config.is_allowed = allowed != nullptr && allowed->get<bool>();
  if (!config.is_allowed) return config;
  config.tier = read_tier(*settings);
  if (const Json* listen = member(configuration, "peer_listen"))
    config.listen = read_endpoint(*listen, "peer_listen");
  if (const Json* all = member(configuration, "peers_all"))
    config.broadcast = read_endpoint(*all, "peers_all");
  if (const Json* peers = member(configuration, "peers")) config.peers = read_peers(*peers);
  return config;
}

std::optional<Config> parse_config(const cue::File& file, const routing::Settings& settings,
                                   const PeerConfig& peers) {
  static const cue::Schema schema(kSchema, "#Fleet");
  const cue::Data data = schema.read(file);
  Config config;
  config.peers = peers;
  NodeOptions& options = config.options;
  options.membership = read_members(data["members"]);
  if (options.membership.probe_timeout * 3 >= options.membership.probe_interval) {
    const auto& at = data["members"]["probe_timeout_ms"];
    throw cue::Errors(file.name, {cue::problem(at, "below a third of period_ms expected")});
  }
  options.lending = read_lending(data["rights"]);
  options.max_entries = static_cast<std::size_t>(data["rows"].integer());
  options.bytes_per_second = data["bytes"]["per_second"].integer();
  options.burst_bytes = data["bytes"]["burst"].integer();
  if (!data["share"].flag() || !peers.is_allowed || settings.router_count < 2) return std::nullopt;
  check(peers, settings);
  options.self = static_cast<MemberIndex>(settings.router_number);
  options.member_count = static_cast<MemberIndex>(settings.router_count);
  options.tier = peers.tier;
  return config;
}

}  // namespace dispatcher::gossip
