#include "simulation/statistics.hpp"

#include <map>

#include "cue/schema.hpp"

namespace dispatcher::simulation {

namespace {

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
	troubles: *[] | [...#Trouble]
}
#Trouble: {
	kind:   "zone-lost" | "readers-dead" | "slow-links" | "jump"
	from_s: int & >=0
	to_s:   int & >0
	zone:   *0 | (int & >=0)
	share:  *0.5 | (number & >0 & <=100)
}
)cue";

routing::Settings settings_of(const Statistics& f) {
  using std::chrono::milliseconds;
  routing::Settings s;
  s.router_count = f.instances;
  s.zone = "z0";
  routing::RequestClass ask;
  ask.name = "ask";
  ask.idempotency = routing::Idempotency::kIdempotent;
  ask.latency_objective = milliseconds(1500);
  ask.latency_objective_per_1000_tokens = milliseconds(100);
  ask.deadline = milliseconds(6000);
  ask.token_latency_objective = milliseconds(50);
  ask.priority_weight = 1;
  ask.late_weight = 0.3;
  routing::RequestClass command = ask;
  command.name = "command";
  command.idempotency = routing::Idempotency::kNonIdempotent;
  command.latency_objective = milliseconds(800);
  command.deadline = milliseconds(2500);
  command.priority_weight = 3;
  command.late_weight = 0.2;
  s.classes = {ask, command};
  s.tenants = {{"one", f.rate}, {"two", f.rate}};
  s.kinds = {{"reader", routing::Role::kReader, 400'000}, {"writer", routing::Role::kWriter, 400'000}};
  s.may_cancel = s.retry_advice = true;
  s.max_retry_after = milliseconds(2000);
  s.max_attempts = 4;
  s.tick = milliseconds(4);
  s.answer_slack = milliseconds(16);
  s.drain_grace = milliseconds(250);
  s.reservation_limit = milliseconds(1500);
  s.connect_timeout = milliseconds(250);
  s.idle_timeout = std::chrono::seconds(15);
  s.warmup_initial_share = 0.3;
  s.warmup_time = std::chrono::seconds(14);
  s.overload_multiple = 4;
  s.overload_window = std::chrono::seconds(2);
  return s;
}

}  // namespace

Statistics read_figures(const cue::File& file) {
  static const cue::Schema schema(kSchema, "#Scenario");
  const cue::Data data = schema.read(file);
  const auto number = [](const cue::Data& d) { return static_cast<int>(d.integer()); };
  const auto us = [](const cue::Data& d) { return Duration(d.integer()); };
  const auto ms = [](const cue::Data& d) { return Duration(std::chrono::milliseconds(d.integer())); };
  const auto s = [](const cue::Data& d) { return Duration(std::chrono::seconds(d.integer())); };
  Statistics f;
  f.lasts = s(data["lasts_s"]);
  f.instances = number(data["instances"]);
  const cue::Data &fleet = data["fleet"], &traffic = data["traffic"];
  f.zones = number(fleet["zones"]);
  f.cells = number(fleet["cells"]);
  f.readers = number(fleet["readers"]);
  f.writers = number(fleet["writers"]);
  f.reader_slots = number(fleet["reader_slots"]);
  f.writer_slots = number(fleet["writer_slots"]);
  f.read_token = us(fleet["read_token_us"]);
  f.write_token = us(fleet["write_token_us"]);
  f.fetch_token = us(fleet["fetch_token_us"]);
  f.fetch_far_token = us(fleet["fetch_far_token_us"]);
  f.network = us(fleet["network_us"]);
  f.list_delay = ms(fleet["list_delay_ms"]);
  f.report_every = ms(fleet["report_every_ms"]);
  f.cached_openings = number(fleet["cached_openings"]);
  f.rate = traffic["rate"].real();
  f.commands = traffic["commands"].real();
  f.prompt = number(traffic["prompt"]);
  f.opening = number(traffic["opening"]);
  f.answer = number(traffic["answer"]);
  f.sessions = number(traffic["sessions"]);
  f.openings = number(traffic["openings"]);
  static const std::map<std::string, Fault::Kind> kKinds = {{"zone-lost", Fault::Kind::kZoneLost},
                                                            {"readers-dead", Fault::Kind::kReadersDead},
                                                            {"slow-links", Fault::Kind::kSlowLinks},
                                                            {"jump", Fault::Kind::kJump}};
  std::vector<cue::Problem> problems;
  for (const cue::Data& t : data["troubles"].items()) {
    Fault trouble{kKinds.at(t["kind"].text()), s(t["from_s"]), s(t["to_s"]), number(t["zone"]),
                  t["share"].real()};
    if (trouble.to <= trouble.from) problems.push_back(cue::problem(t["to_s"], "not after from_s"));
    if (trouble.kind == Fault::Kind::kZoneLost && trouble.zone >= f.zones)
      problems.push_back(cue::problem(t["zone"], "no such zone"));
    f.troubles.push_back(trouble);
  }
  if (!problems.empty()) throw cue::Errors(file.name, std::move(problems));
  f.settings = settings_of(f);
  return f;
}

}  // namespace dispatcher::simulation
