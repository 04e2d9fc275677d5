#include "gossip/config.hpp"

#include <string_view>

#include "cue/schema.hpp"

namespace dispatcher::gossip {

namespace {

// The schema of deploy/fleet.cue. read_members(), read_lending() and read_options() map its keys to the terms
// of the code.
constexpr std::string_view kSchema = R"cue(
#Fleet: {
	share: *false | bool // false disables gossip
	members: {
		period_ms:           *1_000 | (int & >=100 & <=60_000)
		probe_timeout_ms:    *250 | (int & >=60 & <=10_000) // >= a round trip; < period_ms / 3
		helpers:             *3 | (int & >=0 & <=8)
		suspicion_periods:   *3.0 | (number & >=1 & <=20)   // minimum suspicion time, in periods * log10(members)
		suspicion_stretch:   *4.0 | (number & >=1 & <=20)   // maximum suspicion time, as a multiple of the minimum
		confirmations:       *3 | (int & >=0 & <=8)
		spread:              *4.0 | (number & >=1 & <=16)
		call_every_periods:  *4 | (int & >=1 & <=60)
	}
	bytes: {
		per_second: *768 | (int & >=64 & <=65_536) // sent by one member; a broadcast counts once for each receiver
		burst:      *16_384 | (int & >=1_024 & <=1_048_576)
	}
	rows: *4_096 | (int & >=64 & <=65_536) // maximum number of stored entries, of all members together
	rights: {
		lend:     *true | bool
		lease_ms: *10_000 | (int & >=1_000 & <=15_000)
		kept:     *0.5 | (number & >=0 & <=1)        // fraction of its quota that a member never lends
		drift:    *0.001 | (number & >=0 & <=0.05)   // maximum relative error of a clock's rate
	}
}
)cue";

membership::Duration milliseconds_of(const cue::Data& data) {
  return std::chrono::milliseconds(data.integer());
}

membership::Parameters read_members(const cue::Data& data) {
  membership::Parameters parameters;
  parameters.probe_interval = milliseconds_of(data["period_ms"]);
  parameters.probe_timeout = milliseconds_of(data["probe_timeout_ms"]);
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
  policy.lease = milliseconds_of(data["lease_ms"]);
  policy.reserved_fraction = data["kept"].real();
  policy.max_drift = data["drift"].real();
  return policy;
}

NodeOptions read_options(const cue::Data& data) {
  NodeOptions options;
  options.membership = read_members(data["members"]);
  options.lending = read_lending(data["rights"]);
  options.max_entries = static_cast<std::size_t>(data["rows"].integer());
  options.bytes_per_second = data["bytes"]["per_second"].integer();
  options.burst_bytes = data["bytes"]["burst"].integer();
  return options;
}

// Checks a rule that the schema can't express: a probe interval must leave time for the indirect probes after
// the direct one.
void check_probe_timeout(const cue::File& file, const cue::Data& data,
                         const membership::Parameters& parameters) {
  if (parameters.probe_timeout * 3 < parameters.probe_interval) return;
  const auto& timeout = data["members"]["probe_timeout_ms"];
  throw cue::Errors(file.name, {cue::problem(timeout, "below a third of period_ms expected")});
}

}  // namespace

std::optional<Config> parse_config(const cue::File& file, const routing::Settings& settings,
                                   const PeerConfig& peers) {
  static const cue::Schema schema(kSchema, "#Fleet");
  const cue::Data data = schema.read(file);
  NodeOptions options = read_options(data);
  check_probe_timeout(file, data, options.membership);
  if (!data["share"].flag() || !peers.is_allowed || settings.router_count < 2) return std::nullopt;
  check_peers(peers, static_cast<std::size_t>(settings.router_count));
  options.self = static_cast<MemberIndex>(settings.router_number);
  options.member_count = static_cast<MemberIndex>(settings.router_count);
  options.tier = peers.tier;
  return Config{options, peers};
}

}  // namespace dispatcher::gossip
