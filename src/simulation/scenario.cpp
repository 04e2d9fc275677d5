#include "simulation/scenario.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <utility>

#include "degradation/degradation_controller.hpp"
#include "simulation/simulated_fleet.hpp"
#include "simulation/traffic.hpp"

namespace dispatcher::simulation {

namespace {

using engine::SlotId;

// The virtual clock's start: a time of this century, as clients' deadlines are.
constexpr Time kStart = std::chrono::seconds(1'800'000'000);
// How long requests that are open when the traffic ends may still take.
constexpr Duration kDrainTime = std::chrono::seconds(60);
// Keeps the seeds of dispatchers apart from each other, and from those of other simulations.
constexpr std::uint64_t kSeedStride = 1'000'003;

// One dispatcher: the real engine between its clients and the simulated fleet. Owned by the Simulation, whose
// timers call it; the fleet, the timers and the outcomes outlive it.
class Instance : public engine::UpstreamClient, public engine::ResponseSink {
 public:
  Instance(const Parameters& parameters, int number, std::uint64_t seed, SimulatedFleet& fleet,
           engine::TimerQueue& timers, engine::Clock clock, std::vector<RequestOutcome>& outcomes,
           std::shared_ptr<const degradation::LevelSet> levels)
      : fleet_(fleet),
        clock_(clock),
        outcomes_(outcomes),
        random_(seed),
        settings_(settings_for(parameters, number)),
        engine_(std::make_shared<const routing::Settings>(settings_), seed, *this, timers, clock,
                [](std::string_view) {}),
        control_(
            settings_, levels ? levels : std::make_shared<const degradation::LevelSet>(), clock,
            [](std::string_view) {}, [this] { return uniform(random_); }) {
    engine_.set_request_observer(&control_);
    endpoints();
  }

  void endpoints() {
    const auto list = fleet_.list();
    engine_.update_endpoints(list);
    control_.update_endpoints(list);
  }
  void tick(Time now) { control_.tick(engine_.open_request_count(), now); }
  [[nodiscard]] std::size_t level_changes() const { return control_.machine().history().size(); }

  // `number`: of the request's outcome.
  void submit(const Job& job, const routing::Request& request, std::size_t number) {
    rate_limit::RequestAttributes attributes;
    attributes.prompt_tokens = request.prompt_tokens;
    attributes.time_left_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.client_deadline - clock_()).count();
    if (control_.shed(request, attributes)) {
      outcomes_[number].end = RequestOutcome::End::kShed;
      return;
    }
    const SlotId client{static_cast<std::uint32_t>(number), 1};
    auto message = std::make_shared<engine::UpstreamRequest>();
    message->id = request.id;
    jobs_[request.id] = job;
    engine_.submit(*this, client, request, std::move(message));
  }

 private:
  static routing::Settings settings_for(const Parameters& parameters, int number) {
    routing::Settings settings = parameters.settings;
    settings.router_number = number;
    settings.zone = "z" + std::to_string(number % parameters.zones);
    return settings;
  }
  RequestOutcome& outcome(SlotId client) { return outcomes_[client.index]; }

  // ---- to the fleet ----
  void start_attempt(engine::AttemptId attempt, const engine::EndpointId& endpoint,
                     std::shared_ptr<const engine::UpstreamRequest> message, Time, Time) override {
    SimulatedFleet::Callbacks callbacks;
    callbacks.first = [this, attempt] { engine_.on_events(attempt, "data: {}\n\n"); };
    callbacks.ended = [this, attempt](const engine::AttemptResult& ending) {
      works_.erase(attempt);
      engine_.on_attempt_completed(attempt, ending);
    };
    works_[attempt] = fleet_.send(endpoint, jobs_[message->id], std::move(callbacks));
  }
  bool cancel_attempt(engine::AttemptId attempt) override {
    if (const auto it = works_.find(attempt); it != works_.end()) {
      fleet_.abandon(it->second);
      works_.erase(it);
    }
    return true;
  }
  void pause_reading(engine::AttemptId) override {}
  void resume_reading(engine::AttemptId) override {}
  void reserve_slot(engine::AttemptId, const engine::EndpointId&, const engine::RequestId&) override {}
  void release_reservation(const engine::RequestId& id, Time) override { fleet_.release(id); }
  bool has_connection(engine::AttemptId attempt) override { return works_.contains(attempt); }

  // ---- to the clients ----
  void start_stream(SlotId client) override {
    RequestOutcome& started = outcome(client);
    started.time_to_first_token = clock_() - started.submitted_at;
    started.end = RequestOutcome::End::kCut;  // until it is complete
  }
  bool write_events(SlotId, std::string_view) override { return true; }
  void finish_stream(SlotId client) override { outcome(client).end = RequestOutcome::End::kServed; }
  void abort_stream(SlotId client) override { outcome(client).end = RequestOutcome::End::kCut; }
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
  std::map<engine::RequestId, Job> jobs_;
  std::map<engine::AttemptId, SimulatedFleet::Work> works_;
};

// One run. Everything happens in timers of one queue, which sets the clock.
class Simulation {
 public:
  Simulation(const Parameters& parameters, std::uint64_t seed,
             const std::shared_ptr<const degradation::LevelSet>& levels)
      : parameters_(parameters),
        traffic_end_(kStart + parameters.duration),
        fleet_(parameters, timers_, clock()),
        traffic_(parameters, seed) {
    for (int i = 0; i < parameters.dispatchers; ++i) {
      const std::uint64_t own_seed = seed * kSeedStride + static_cast<std::uint64_t>(i);
      instances_.push_back(std::make_unique<Instance>(parameters, i, own_seed, fleet_, timers_, clock(),
                                                      result_.outcomes, levels));
    }
    fleet_.on_list_change([this] {
      for (auto& instance : instances_) instance->endpoints();
    });
  }

  Result run() {
    for (const Fault& fault : parameters_.faults) schedule(fault);
    timers_.add(kStart + traffic_.next_gap(rate_factor_), [this] { submit_next(); });
    tick();
    while (const auto next = timers_.next()) {
      if (*next > traffic_end_ + kDrainTime) break;
      now_ = std::max(now_, *next);
      timers_.run(now_);
    }
    evaluate();
    return std::move(result_);
  }

 private:
  engine::Clock clock() {
    return [this] { return now_; };
  }

  void schedule(const Fault& fault) {
    timers_.add(kStart + fault.start, [this, fault] { begin(fault); });
    timers_.add(kStart + fault.end, [this, fault] { end(fault); });
  }

  void begin(const Fault& fault) {
    switch (fault.kind) {
      case Fault::Kind::kZoneLost:
        return fleet_.lose_endpoints([lost = "z" + std::to_string(fault.zone)](const std::string& zone, bool,
                                                                               int) { return zone == lost; });
      case Fault::Kind::kReadersLost:
        return fleet_.lose_endpoints([&](const std::string&, bool is_reader, int number) {
          return is_reader && number < fault.magnitude * parameters_.readers;
        });
      case Fault::Kind::kSlowLinks:
        return fleet_.slow_links(fault.magnitude);
      case Fault::Kind::kTrafficSurge:
        rate_factor_ = fault.magnitude;
        return;
    }
  }

  void end(const Fault& fault) {
    switch (fault.kind) {
      case Fault::Kind::kZoneLost:
      case Fault::Kind::kReadersLost:
        return fleet_.restore_endpoints();
      case Fault::Kind::kSlowLinks:
        return fleet_.slow_links(1);
      case Fault::Kind::kTrafficSurge:
        rate_factor_ = 1;
        return;
    }
  }

  void submit_next() {
    if (now_ >= traffic_end_) return;
    const auto [job, request] = traffic_.next_arrival(now_);
    const routing::RequestClass& request_class = class_of(request.request_class);
    RequestOutcome outcome;
    outcome.request_class = request.request_class;
    outcome.submitted_at = now_;
    outcome.latency_objective =
        request_class.latency_objective +
        request_class.latency_objective_per_1000_tokens * request.prompt_tokens / 1000;
    result_.outcomes.push_back(outcome);
    const auto dispatcher = static_cast<std::size_t>(traffic_.next_dispatcher());
    instances_[dispatcher]->submit(job, request, result_.outcomes.size() - 1);
    timers_.add(now_ + traffic_.next_gap(rate_factor_), [this] { submit_next(); });
  }

  void tick() {
    for (auto& instance : instances_) instance->tick(now_);
    if (now_ >= traffic_end_) return;
    timers_.add(now_ + degradation::DegradationController::kTick, [this] { tick(); });
  }

  void evaluate() {
    for (std::size_t i = 0; i < result_.outcomes.size(); ++i) {
      RequestOutcome& outcome = result_.outcomes[i];
      const routing::RequestClass& request_class = class_of(outcome.request_class);
      outcome.is_in_time = outcome.time_to_first_token <= outcome.latency_objective;
      result_.total_weight += request_class.priority_weight;
      if (outcome.end == RequestOutcome::End::kServed) {
        const double weight = outcome.is_in_time ? 1 : request_class.late_weight;
        result_.served_weight += request_class.priority_weight * weight;
      }
      const bool may_execute_twice = request_class.idempotency != routing::Idempotency::kNonIdempotent;
      const engine::RequestId id = std::to_string(i + 1);  // as the traffic numbers them
      if (!may_execute_twice && fleet_.execution_count(id) > 1) ++result_.duplicate_executions;
    }
    for (const auto& instance : instances_) result_.level_changes += instance->level_changes();
    result_.leaked_states = fleet_.retained_states();
  }

  [[nodiscard]] const routing::RequestClass& class_of(const std::string& name) const {
    const auto& classes = parameters_.settings.classes;
    return *std::find_if(classes.begin(), classes.end(),
                         [&](const auto& request_class) { return request_class.name == name; });
  }

  const Parameters& parameters_;
  const Time traffic_end_;
  Result result_;
  Time now_ = kStart;
  double rate_factor_ = 1;
  engine::TimerQueue timers_;
  SimulatedFleet fleet_;
  std::vector<std::unique_ptr<Instance>> instances_;
  TrafficGenerator traffic_;
};

}  // namespace

const char* name(RequestOutcome::End end) {
  constexpr std::array<const char*, 6> kNames = {"served", "cut", "refused", "shed", "failed", "open"};
  return kNames[static_cast<std::size_t>(end)];
}

double Result::in_time_fraction(const std::string& request_class) const {
  std::size_t total = 0, in_time = 0;
  for (const RequestOutcome& outcome : outcomes) {
    if (outcome.request_class != request_class) continue;
    ++total;
    if (outcome.end == RequestOutcome::End::kServed && outcome.is_in_time) ++in_time;
  }
  return total == 0 ? 1 : static_cast<double>(in_time) / static_cast<double>(total);
}

std::string Result::csv() const {
  // The columns after the class: all requests, those served in time and late, and the other ends in the order
  // of the enumeration.
  constexpr std::size_t kAll = 0, kInTime = 1, kLate = 2, kColumns = 8;
  const auto column_of = [](const RequestOutcome& outcome) {
    if (outcome.end != RequestOutcome::End::kServed) return kLate + static_cast<std::size_t>(outcome.end);
    return outcome.is_in_time ? kInTime : kLate;
  };
  std::map<std::pair<std::int64_t, std::string>, std::array<std::size_t, kColumns>> rows;
  for (const RequestOutcome& outcome : outcomes) {
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(outcome.submitted_at - kStart).count();
    auto& row = rows[{second, outcome.request_class}];
    ++row[kAll];
    ++row[column_of(outcome)];
  }
  std::string text = "second,class,asked,in_time,late,cut,refused,shed,failed,open\n";
  for (const auto& [key, row] : rows) {
    text += std::to_string(key.first) + "," + key.second;
    for (const std::size_t count : row) text += "," + std::to_string(count);
    text += "\n";
  }
  return text;
}

Result simulate(const Parameters& parameters, std::uint64_t seed,
                const std::shared_ptr<const degradation::LevelSet>& levels) {
  return Simulation(parameters, seed, levels).run();
}

}  // namespace dispatcher::simulation
