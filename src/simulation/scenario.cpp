#include "simulation/scenario.hpp"

#include <algorithm>
#include <array>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <map>
#include <memory>

#include "degradation/degradation_controller.hpp"
#include "simulation/simulated_fleet.hpp"

namespace dispatcher::simulation {

namespace {

using Random = boost::random::mt19937_64;  // and its distributions: the same numbers everywhere
using engine::SlotId;

constexpr Time kStart = std::chrono::seconds(1'800'000'000);
constexpr Duration kEnding = std::chrono::seconds(60);  // for what is open when the traffic ends

double uniform(Random& random) { return boost::random::uniform_real_distribution<double>(0, 1)(random); }
int below(Random& random, int n) { return boost::random::uniform_int_distribution<int>(0, n - 1)(random); }

// One dispatcher: the real engine between its clients and the model fleet.
class Instance : public engine::UpstreamClient, public engine::ResponseSink {
 public:
  Instance(const Statistics& figures, int number, std::uint64_t seed, SimulatedFleet& fleet,
           engine::TimerQueue& timers, engine::Clock clock, std::vector<RequestOutcome>& outcomes,
           std::shared_ptr<const degradation::LevelSet> levels)
      : fleet_(fleet),
        clock_(clock),
        outcomes_(outcomes),
        random_(seed),
        settings_(numbered(figures, number)),
        engine_(std::make_shared<const routing::Settings>(settings_), seed, *this, timers, clock,
                [](std::string_view) {}),
        control_(
            settings_, levels ? levels : std::make_shared<const degradation::LevelSet>(), clock,
            [](std::string_view) {}, [this] { return uniform(random_); }) {
    engine_.attach(&control_);
    endpoints();
  }

  void endpoints() {
    const auto list = fleet_.list();
    engine_.endpoints(list);
    control_.update_endpoints(list);
  }
  void tick(Time now) { control_.tick(engine_.open(), now); }
  std::size_t changes() const { return control_.machine().history().size(); }

  void ask(const Job& job, routing::Request request, std::size_t number) {
    rate_limit::RequestAttributes facts;
    facts.prompt_tokens = request.prompt_tokens;
    facts.time_left_ms = (request.client_deadline - clock_()).count() / 1000;
    if (control_.shed(request, facts)) return void(outcomes_[number].end = RequestOutcome::End::kShed);
    const SlotId client{static_cast<std::uint32_t>(number), 1};
    auto message = std::make_shared<engine::UpstreamRequest>();
    message->id = request.id;
    jobs_[request.id] = job;
    engine_.submit(*this, client, request, std::move(message));
  }

 private:
  static routing::Settings numbered(const Statistics& figures, int number) {
    routing::Settings s = figures.settings;
    s.router_number = number;
    s.zone = "z" + std::to_string(number % figures.zones);
    return s;
  }
  RequestOutcome& outcome(SlotId client) { return outcomes_[client.index]; }

  // ---- to the fleet ----
  void send(engine::AttemptId attempt, const std::string& endpoint,
            std::shared_ptr<const engine::UpstreamRequest> message, Time, Time) override {
    SimulatedFleet::Callbacks callbacks;
    callbacks.first = [this, attempt] { engine_.events(attempt, "data: {}\n\n"); };
    callbacks.ended = [this, attempt](const engine::AttemptResult& ending) {
      works_.erase(attempt);
      engine_.ended(attempt, ending);
    };
    works_[attempt] = fleet_.send(endpoint, jobs_[message->id], std::move(callbacks));
  }
  bool abandon(engine::AttemptId attempt) override {
    if (const auto it = works_.find(attempt); it != works_.end()) {
      fleet_.abandon(it->second);
      works_.erase(it);
    }
    return true;
  }
  void pause(engine::AttemptId) override {}
  void resume(engine::AttemptId) override {}
  void hold(engine::AttemptId, const std::string&, const std::string&) override {}
  void release(const std::string& id, Time) override { fleet_.release(id); }
  bool under_way(engine::AttemptId attempt) override { return works_.contains(attempt); }

  // ---- to the clients ----
  void begin(SlotId client) override {
    RequestOutcome& o = outcome(client);
    o.first = clock_() - o.asked;
    o.end = RequestOutcome::End::kCut;  // until it is whole
  }
  bool pass(SlotId, std::string_view) override { return true; }
  void finish(SlotId client) override { outcome(client).end = RequestOutcome::End::kServed; }
  void cut(SlotId client) override { outcome(client).end = RequestOutcome::End::kCut; }
  void reject(SlotId client, std::optional<Duration>) override {
    outcome(client).end = RequestOutcome::End::kRejected;
  }
  void fail(SlotId client, engine::Failure) override { outcome(client).end = RequestOutcome::End::kFailed; }

  SimulatedFleet& fleet_;
  engine::Clock clock_;
  std::vector<RequestOutcome>& outcomes_;
  Random random_;
  routing::Settings settings_;
  engine::Engine engine_;
  degradation::DegradationController control_;
  std::map<std::string, Job> jobs_;
  std::map<engine::AttemptId, SimulatedFleet::Work> works_;
};

// What the clients ask, one after another.
class Traffic {
 public:
  Traffic(const Statistics& figures, std::uint64_t seed) : f_(figures), random_(seed) {}

  Duration pause(double times) {
    const double s = boost::random::exponential_distribution<double>(f_.rate * times)(random_);
    return Duration(1 + static_cast<std::int64_t>(s * 1e6));
  }
  std::pair<Job, routing::Request> next(Time now) {
    routing::Request r;
    const auto number = ++made_;
    r.id = std::to_string(number);
    const bool command = uniform(random_) < f_.commands;
    const auto& cls = f_.settings.classes[command ? 1 : 0];
    r.request_class = cls.name;
    r.tenant = f_.settings.tenants[static_cast<std::size_t>(below(random_, 2))].name;
    r.session = 1 + static_cast<std::uint64_t>(below(random_, f_.sessions));
    r.shared_prefix = (1ULL << 40U) + static_cast<std::uint64_t>(below(random_, f_.openings));
    r.prefix_tokens = f_.opening;
    r.prompt_tokens = f_.opening + spread(std::max(1, f_.prompt - f_.opening));
    r.max_tokens = 4 * f_.answer;
    r.client_deadline =
        now + cls.deadline + 2 * cls.latency_objective_per_1000_tokens * r.prompt_tokens / 1000;
    const Job job{r.id,
                  r.session,
                  r.shared_prefix,
                  r.prompt_tokens,
                  r.prefix_tokens,
                  std::min(r.max_tokens, spread(f_.answer))};
    return {job, r};
  }
  int instance() { return below(random_, f_.instances); }

 private:
  int spread(int mean) {
    const double x = boost::random::exponential_distribution<double>(1.0 / mean)(random_);
    return 1 + static_cast<int>(std::min(x, 8.0 * mean));
  }
  const Statistics& f_;
  Random random_;
  std::uint64_t made_ = 0;
};

}  // namespace

const char* name(RequestOutcome::End end) {
  constexpr std::array<const char*, 6> kNames = {"served", "cut", "refused", "shed", "failed", "open"};
  return kNames[static_cast<std::size_t>(end)];
}

double Result::in_time(const std::string& request_class) const {
  std::size_t all = 0, good = 0;
  for (const RequestOutcome& o : outcomes) {
    if (o.request_class != request_class) continue;
    ++all;
    good += o.end == RequestOutcome::End::kServed && o.in_time ? 1 : 0;
  }
  return all == 0 ? 1 : static_cast<double>(good) / static_cast<double>(all);
}

std::string Result::csv() const {
  std::map<std::pair<std::int64_t, std::string>, std::array<std::size_t, 8>> rows;
  for (const RequestOutcome& o : outcomes) {
    auto& row = rows[{(o.asked - kStart).count() / 1'000'000, o.request_class}];
    ++row[0];
    const bool served = o.end == RequestOutcome::End::kServed;
    ++row[served && o.in_time ? 1 : served ? 2 : 2 + static_cast<std::size_t>(o.end)];
  }
  std::string text = "second,class,asked,in_time,late,cut,refused,shed,failed,open\n";
  for (const auto& [key, row] : rows) {
    text += std::to_string(key.first) + "," + key.second;
    for (const std::size_t n : row) text += "," + std::to_string(n);
    text += "\n";
  }
  return text;
}

Result play(const Statistics& figures, std::uint64_t seed,
            std::shared_ptr<const degradation::LevelSet> levels) {
  Result result;
  Time now = kStart;
  engine::TimerQueue timers;
  const engine::Clock clock = [&now] { return now; };
  SimulatedFleet fleet(figures, timers, clock);
  std::vector<std::unique_ptr<Instance>> instances;
  for (int i = 0; i < figures.instances; ++i) {
    const std::uint64_t own = seed * 1'000'003 + static_cast<std::uint64_t>(i);
    instances.push_back(
        std::make_unique<Instance>(figures, i, own, fleet, timers, clock, result.outcomes, levels));
  }
  fleet.on_list([&] {
    for (auto& instance : instances) instance->endpoints();
  });
  Traffic traffic(figures, seed);
  double times = 1;
  for (const Fault& t : figures.troubles) {
    timers.add(kStart + t.from, [&, t] {
      if (t.kind == Fault::Kind::kZoneLost)
        fleet.lose(
            [zone = "z" + std::to_string(t.zone)](const std::string& z, bool, int) { return z == zone; });
      if (t.kind == Fault::Kind::kReadersDead)
        fleet.lose(
            [&](const std::string&, bool reader, int n) { return reader && n < t.share * figures.readers; });
      if (t.kind == Fault::Kind::kSlowLinks) fleet.slow_links(t.share);
      if (t.kind == Fault::Kind::kJump) times = t.share;
    });
    timers.add(kStart + t.to, [&, t] {
      if (t.kind == Fault::Kind::kSlowLinks) return fleet.slow_links(1);
      if (t.kind == Fault::Kind::kJump) return void(times = 1);
      fleet.bring_back();
    });
  }
  const Time end = kStart + figures.lasts;
  std::function<void()> ask = [&] {
    if (now >= end) return;
    const auto [job, request] = traffic.next(now);
    const auto& cls = figures.settings.classes[request.request_class == "ask" ? 0 : 1];
    const Duration aim =
        cls.latency_objective + cls.latency_objective_per_1000_tokens * request.prompt_tokens / 1000;
    result.outcomes.push_back({request.request_class, RequestOutcome::End::kOpen, now, aim, {}, false});
    instances[static_cast<std::size_t>(traffic.instance())]->ask(job, request, result.outcomes.size() - 1);
    timers.add(now + traffic.pause(times), ask);
  };
  timers.add(kStart + traffic.pause(times), ask);
  std::function<void()> tick = [&] {
    for (auto& instance : instances) instance->tick(now);
    if (now < end) timers.add(now + degradation::DegradationController::kTick, tick);
  };
  tick();
  while (const auto next = timers.next()) {
    if (*next > end + kEnding) break;
    now = std::max(now, *next);
    timers.run(now);
  }
  for (std::size_t i = 0; i < result.outcomes.size(); ++i) {
    RequestOutcome& o = result.outcomes[i];
    const auto& classes = figures.settings.classes;
    const auto& cls = *std::find_if(classes.begin(), classes.end(),
                                    [&](const auto& c) { return c.name == o.request_class; });
    o.in_time = o.first <= o.aim;
    result.total_weight += cls.priority_weight;
    if (o.end == RequestOutcome::End::kServed)
      result.served_weight += cls.priority_weight * (o.in_time ? 1 : cls.late_weight);
    if (cls.idempotency == routing::Idempotency::kNonIdempotent && fleet.begun(std::to_string(i + 1)) > 1)
      ++result.twice;
  }
  for (const auto& instance : instances) result.changes += instance->changes();
  result.pinned = fleet.states();
  return result;
}

}  // namespace dispatcher::simulation
