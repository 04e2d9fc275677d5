#include "simulation/parameters.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "cue/schema.hpp"

namespace dispatcher::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The schema of scenario files. read_parameters() and the functions that it calls map its keys to the terms
// of the code.
constexpr std::string_view kSchema = R"cue(
#Scenario: {
	lasts_s:   *60 | (int & >0 & <=86_400)
	instances: *1 | (int & >0 & <=1_000)
	fleet: {
		zones:   *2 | (int & >0 & <=16)
		cells:   *1 | (int & >0 & <=64)
		readers: *4 | (int & >0 & <=1_000)
		writers: *4 | (int & >0 & <=1_000)
		reader_slots: *1 | (int & >0 & <=1_000)
		writer_slots: *16 | (int & >0 & <=10_000)
		read_token_us:      *20 | (int & >0 & <=100_000)
		write_token_us:     *8_000 | (int & >0 & <=10_000_000)
		fetch_token_us:     *2 | (int & >=0 & <=100_000)
		fetch_far_token_us: *8 | (int & >=0 & <=100_000)
		network_us:         *500 | (int & >=0 & <=10_000_000)
		list_delay_ms:      *2_000 | (int & >=0 & <=600_000)
		report_every_ms:    *1_000 | (int & >=1 & <=600_000)
		cached_openings:    *200 | (int & >=0 & <=1_000_000)
	}
	traffic: {
		rate:     *20 | (number & >0 & <=1_000_000)
		commands: *0.3 | (number & >=0 & <=1)
		prompt:   *2_000 | (int & >0 & <=1_000_000)
		opening:  *1_000 | (int & >=0 & <=1_000_000)
		answer:   *100 | (int & >0 & <=1_000_000)
		sessions: *500 | (int & >0 & <=10_000_000)
		openings: *20 | (int & >0 & <=1_000_000)
	}
	troubles: *[] | [...#Fault]
}
#Fault: {
	kind:   "zone-lost" | "readers-dead" | "slow-links" | "jump"
	from_s: int & >=0
	to_s:   int & >0
	zone:   *0 | (int & >=0)
	share:  *0.5 | (number & >0 & <=100)
}
)cue";

// The values of `kind` of the faults in a scenario file.
constexpr std::array<std::pair<std::string_view, Fault::Kind>, 4> kFaultKinds = {
    {{"zone-lost", Fault::Kind::kZoneLost},
     {"readers-dead", Fault::Kind::kReadersLost},
     {"slow-links", Fault::Kind::kSlowLinks},
     {"jump", Fault::Kind::kTrafficSurge}}};

// Returns the kind of fault with the given name, which must be one that the schema permits.
Fault::Kind fault_kind(std::string_view name) {
  const auto it = std::find_if(kFaultKinds.begin(), kFaultKinds.end(),
                               [&](const auto& entry) { return entry.first == name; });
  return it->second;
}

// Returns a class of idempotent requests ("ask") and one of non-idempotent requests ("command").
std::vector<routing::RequestClass> request_classes() {
  routing::RequestClass idempotent;
  idempotent.name = "ask";
  idempotent.idempotency = routing::Idempotency::kIdempotent;
  idempotent.latency_objective = milliseconds(1500);
  idempotent.latency_objective_per_1000_tokens = milliseconds(100);
  idempotent.deadline = milliseconds(6000);
  idempotent.token_latency_objective = milliseconds(50);
  idempotent.priority_weight = 1;
  idempotent.late_weight = 0.3;
  routing::RequestClass non_idempotent = idempotent;
  non_idempotent.name = "command";
  non_idempotent.idempotency = routing::Idempotency::kNonIdempotent;
  non_idempotent.latency_objective = milliseconds(800);
  non_idempotent.deadline = milliseconds(2500);
  non_idempotent.priority_weight = 3;
  non_idempotent.late_weight = 0.2;
  return {idempotent, non_idempotent};
}

// Returns the settings of a deployment that resembles the simulated one.
routing::Settings dispatcher_settings(const Parameters& parameters) {
  routing::Settings settings;
  settings.router_count = parameters.dispatchers;
  settings.zone = "z0";
  settings.classes = request_classes();
  settings.tenants = {{"one", parameters.request_rate}, {"two", parameters.request_rate}};
  settings.kinds = {{"reader", routing::Role::kReader, 400'000}, {"writer", routing::Role::kWriter, 400'000}};
  settings.may_cancel = true;
  settings.retry_advice = true;
  settings.max_retry_after = milliseconds(2000);
  settings.max_attempts = 4;
  settings.tick = milliseconds(4);
  settings.answer_slack = milliseconds(16);
  settings.drain_grace = milliseconds(250);
  settings.reservation_limit = milliseconds(1500);
  settings.connect_timeout = milliseconds(250);
  settings.idle_timeout = seconds(15);
  settings.warmup_initial_share = 0.3;
  settings.warmup_time = seconds(14);
  settings.overload_multiple = 4;
  settings.overload_window = seconds(2);
  return settings;
}

int integer_of(const cue::Data& data) { return static_cast<int>(data.integer()); }
Duration microseconds_of(const cue::Data& data) { return Duration(data.integer()); }
Duration milliseconds_of(const cue::Data& data) { return milliseconds(data.integer()); }
Duration seconds_of(const cue::Data& data) { return seconds(data.integer()); }

void read_fleet(const cue::Data& data, Parameters& parameters) {
  parameters.zones = integer_of(data["zones"]);
  parameters.cells = integer_of(data["cells"]);
  parameters.readers = integer_of(data["readers"]);
  parameters.writers = integer_of(data["writers"]);
  parameters.reader_slots = integer_of(data["reader_slots"]);
  parameters.writer_slots = integer_of(data["writer_slots"]);
  parameters.prefill_time = microseconds_of(data["read_token_us"]);
  parameters.decode_time = microseconds_of(data["write_token_us"]);
  parameters.transfer_time = microseconds_of(data["fetch_token_us"]);
  parameters.remote_transfer_time = microseconds_of(data["fetch_far_token_us"]);
  parameters.network_latency = microseconds_of(data["network_us"]);
  parameters.discovery_delay = milliseconds_of(data["list_delay_ms"]);
  parameters.report_interval = milliseconds_of(data["report_every_ms"]);
  parameters.cached_prefixes = integer_of(data["cached_openings"]);
}

void read_traffic(const cue::Data& data, Parameters& parameters) {
  parameters.request_rate = data["rate"].real();
  parameters.non_idempotent_fraction = data["commands"].real();
  parameters.mean_prompt = integer_of(data["prompt"]);
  parameters.shared_prefix = integer_of(data["opening"]);
  parameters.mean_answer = integer_of(data["answer"]);
  parameters.sessions = integer_of(data["sessions"]);
  parameters.prefixes = integer_of(data["openings"]);
}

Fault read_fault(const cue::Data& data, int zones, std::vector<cue::Problem>& problems) {
  Fault fault;
  fault.kind = fault_kind(data["kind"].text());
  fault.start = seconds_of(data["from_s"]);
  fault.end = seconds_of(data["to_s"]);
  fault.zone = integer_of(data["zone"]);
  fault.magnitude = data["share"].real();
  if (fault.end <= fault.start) problems.push_back(cue::problem(data["to_s"], "not after from_s"));
  if (fault.kind == Fault::Kind::kZoneLost && fault.zone >= zones)
    problems.push_back(cue::problem(data["zone"], "no such zone"));
  return fault;
}

}  // namespace

Parameters read_parameters(const cue::File& file) {
  static const cue::Schema schema(kSchema, "#Scenario");
  const cue::Data data = schema.read(file);
  Parameters parameters;
  parameters.duration = seconds_of(data["lasts_s"]);
  parameters.dispatchers = integer_of(data["instances"]);
  read_fleet(data["fleet"], parameters);
  read_traffic(data["traffic"], parameters);
  std::vector<cue::Problem> problems;
  for (const cue::Data& item : data["troubles"].items())
    parameters.faults.push_back(read_fault(item, parameters.zones, problems));
  if (!problems.empty()) throw cue::Errors(file.name, std::move(problems));
  parameters.settings = dispatcher_settings(parameters);
  return parameters;
}

}  // namespace dispatcher::simulation
