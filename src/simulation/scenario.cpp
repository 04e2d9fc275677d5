#include "simulation/scenario.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "degradation/degradation_controller.hpp"
#include "routing/request_classes.hpp"
#include "simulation/simulated_fleet.hpp"
#include "simulation/traffic.hpp"

namespace dispatcher::simulation {

namespace {

using engine::SlotId;

// How long the simulation runs on after the traffic ends, so that open requests can end.
constexpr Duration kDrainTime = std::chrono::seconds(60);
// The distance between the first dispatchers' seeds of simulations with consecutive seeds, so that each
// dispatcher has its own seed, also across simulations.
constexpr std::uint64_t kSeedStride = 1'000'003;

using SharedLevels = std::shared_ptr<const degradation::LevelSet>;

std::string zone_name(int zone) { return "z" + std::to_string(zone); }

void discard_log(std::string_view) {}

// The objects that the dispatchers of a simulation share. They must outlive the dispatchers.
struct DispatcherContext {
  const Parameters& parameters;
  SimulatedFleet& fleet;
  engine::TimerQueue& timers;
  engine::Clock clock;
  std::vector<RequestOutcome>& outcomes;
  SharedLevels levels;
};

// One dispatcher, with the real engine between simulated clients and the simulated fleet. Owned by the
// Simulation and called by its timers.
class SimulatedDispatcher : public engine::UpstreamClient, public engine::ResponseSink {
 public:
  SimulatedDispatcher(const DispatcherContext& context, int number, std::uint64_t seed)
      : fleet_(context.fleet),
        clock_(context.clock),
        outcomes_(context.outcomes),
        random_(seed),
        settings_(settings_for(context.parameters, number)),
        engine_(std::make_shared<const routing::Settings>(settings_), seed, *this, context.timers, clock_,
                discard_log),
        degradation_(settings_, context.levels, clock_, discard_log, [this] { return uniform(random_); }) {
    engine_.set_request_observer(&degradation_);
    update_endpoints();
  }

  void update_endpoints() {
    const auto list = fleet_.list();
    engine_.update_endpoints(list);
    degradation_.update_endpoints(list);
  }
  void tick(Time now) { degradation_.tick(engine_.open_request_count(), now); }
  [[nodiscard]] std::size_t level_changes() const { return degradation_.machine().history().size(); }

  // Submits a request. `number` is the index of its outcome.
  void submit(const Job& job, const routing::Request& request, std::size_t number) {
    rate_limit::RequestAttributes attributes;
    attributes.prompt_tokens = request.prompt_tokens;
    attributes.time_left_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.client_deadline - clock_()).count();
    if (degradation_.shed(request, attributes)) {
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
    settings.zone = zone_name(number % parameters.zones);
    return settings;
  }
  RequestOutcome& outcome(SlotId client) { return outcomes_[client.index]; }

  // UpstreamClient, through which the engine calls the fleet.
  void start_attempt(engine::AttemptId attempt, const engine::EndpointId& endpoint,
                     std::shared_ptr<const engine::UpstreamRequest> message, Time, Time) override {
    SimulatedFleet::Callbacks callbacks;
    callbacks.on_first_token = [this, attempt] { engine_.on_events(attempt, "data: {}\n\n"); };
    callbacks.on_completed = [this, attempt](const engine::AttemptResult& result) {
      tasks_.erase(attempt);
      engine_.on_attempt_completed(attempt, result);
    };
    tasks_[attempt] = fleet_.send(endpoint, jobs_[message->id], std::move(callbacks));
  }
  bool cancel_attempt(engine::AttemptId attempt) override {
    if (const auto it = tasks_.find(attempt); it != tasks_.end()) {
      fleet_.cancel(it->second);
      tasks_.erase(it);
    }
    return true;
  }
  void pause_reading(engine::AttemptId) override {}
  void resume_reading(engine::AttemptId) override {}
  void reserve_slot(engine::AttemptId, const engine::EndpointId&, const engine::RequestId&) override {}
  bool is_endpoint_silent(engine::AttemptId) override { return false; }
  void release_reservation(const engine::RequestId& id, const engine::LateReads&) override {
    fleet_.release(id);
  }
  void cancel_release(const engine::RequestId&) override {}
  bool has_unread_response(engine::AttemptId) override { return false; }
  bool has_connection(engine::AttemptId attempt) override { return tasks_.contains(attempt); }

  // ResponseSink, through which the engine calls the clients.
  void start_stream(SlotId client) override {
    RequestOutcome& started = outcome(client);
    started.time_to_first_token = clock_() - started.submitted_at;
    started.end = RequestOutcome::End::kCut;  // replaced when the stream is complete
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
  degradation::DegradationController degradation_;
  std::map<engine::RequestId, Job> jobs_;
  std::map<engine::AttemptId, SimulatedFleet::TaskId> tasks_;
};

// One run of a scenario. All events are timers of one queue; the clock advances to the time of the next
// timer.
class Simulation {
 public:
  // `levels` must not be null.
  Simulation(const Parameters& parameters, std::uint64_t seed, const SharedLevels& levels)
      : parameters_(parameters),
        traffic_end_(kSimulationStart + parameters.duration),
        fleet_(parameters, timers_, clock()),
        traffic_(parameters, seed) {
    const DispatcherContext context{parameters, fleet_, timers_, clock(), result_.outcomes, levels};
    for (int i = 0; i < parameters.dispatchers; ++i) {
      const std::uint64_t own_seed = seed * kSeedStride + static_cast<std::uint64_t>(i);
      dispatchers_.push_back(std::make_unique<SimulatedDispatcher>(context, i, own_seed));
    }
    fleet_.on_list_change([this] {
      for (auto& dispatcher : dispatchers_) dispatcher->update_endpoints();
    });
  }

  Result run() {
    for (const Fault& fault : parameters_.faults) schedule(fault);
    timers_.add(kSimulationStart + traffic_.next_gap(rate_factor_), [this] { submit_next(); });
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
    timers_.add(kSimulationStart + fault.start, [this, fault] { begin_fault(fault); });
    timers_.add(kSimulationStart + fault.end, [this, fault] { end_fault(fault); });
  }

  void begin_fault(const Fault& fault) {
    switch (fault.kind) {
      case Fault::Kind::kZoneLost:
        return lose_zone(zone_name(fault.zone));
      case Fault::Kind::kReadersLost:
        return lose_readers(fault.magnitude);
      case Fault::Kind::kSlowLinks:
        return fleet_.slow_links(fault.magnitude);
      case Fault::Kind::kTrafficSurge:
        rate_factor_ = fault.magnitude;
        return;
    }
  }

  void lose_zone(const std::string& lost) {
    fleet_.lose_endpoints([&](const std::string& zone, routing::Role, int) { return zone == lost; });
  }

  // Loses the given fraction of each cell's readers.
  void lose_readers(double fraction) {
    fleet_.lose_endpoints([&](const std::string&, routing::Role role, int number) {
      return role == routing::Role::kReader && number < fraction * parameters_.readers;
    });
  }

  void end_fault(const Fault& fault) {
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
    const auto number = static_cast<std::size_t>(traffic_.next_dispatcher());
    dispatchers_[number]->submit(job, request, result_.outcomes.size() - 1);
    timers_.add(now_ + traffic_.next_gap(rate_factor_), [this] { submit_next(); });
  }

  void tick() {
    for (auto& dispatcher : dispatchers_) dispatcher->tick(now_);
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
      const engine::RequestId id = std::to_string(i + 1);  // as assigned by TrafficGenerator
      if (!may_execute_twice && fleet_.execution_count(id) > 1) ++result_.duplicate_executions;
    }
    for (const auto& dispatcher : dispatchers_) result_.level_changes += dispatcher->level_changes();
    result_.leaked_states = fleet_.retained_states();
  }

  [[nodiscard]] const routing::RequestClass& class_of(const std::string& name) const {
    return *routing::find_class(parameters_.settings, name);
  }

  const Parameters& parameters_;
  const Time traffic_end_;
  Result result_;
  Time now_ = kSimulationStart;
  double rate_factor_ = 1;
  engine::TimerQueue timers_;
  SimulatedFleet fleet_;
  std::vector<std::unique_ptr<SimulatedDispatcher>> dispatchers_;
  TrafficGenerator traffic_;
};

}  // namespace

Result simulate(const Parameters& parameters, std::uint64_t seed,
                const std::shared_ptr<const degradation::LevelSet>& levels) {
  const auto no_levels = std::make_shared<const degradation::LevelSet>();
  return Simulation(parameters, seed, levels ? levels : no_levels).run();
}

}  // namespace dispatcher::simulation
