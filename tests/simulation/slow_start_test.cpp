// Slow start. Checks the traffic that an endpoint gets from all processes together after it has started,
// where each process sees only its own traffic. In any window (overload_window of the settings) the endpoint
// must get at most N + 2 sqrt(N) + 2 requests of mean work, where N is the number that the settings allow at
// the endpoint's current capacity. It must also get enough to take its part of the traffic once it is warm.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>

#include "router_fixture.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

// The requests of clients, and the speed at which endpoints serve them.
struct Traffic {
  const char* name;
  double capacity;          // requests of mean work per second that a warm endpoint can serve
  bool is_uneven = false;   // whether every fifth process gets five times the traffic of the others
  double burst_factor = 1;  // factor on the request rate for three seconds of the ramp
  bool has_exponential_lengths = false;  // if not, lengths are between 0.5 and 1.5 times the mean
};

// Several processes in front of a fleet of sixteen endpoints, some of which restart.
struct Scenario {
  std::size_t processes = 1;
  Traffic traffic{};
  double load = 0.5;             // as a fraction of the warm fleet's capacity
  bool has_restarts = false;     // whether each process restarts once during the ramp
  double overload_multiple = 4;  // overload_multiple of the settings
  double initial_share = 0.3;    // warmup_initial_share of the settings
  double overload_window = 2;    // overload_window of the settings, in seconds
  int lost_writers = 0;          // writers of the first zone that are never listed
  // The number of restarted endpoints among the four readers and among the four writers of each zone.
  int restarted = 1;
  double max_list_delay = 4;  // maximum seconds until a process gets the list with the restarted endpoints
  double burst_start = 1.5;   // seconds after the restart
};

// The measurements of a run.
struct Measurement {
  // Requests of mean work in the window that comes closest to its bound.
  double allowed = 0;
  double sent = 0;
  double bound = 0;
  // Requests sent to a restarted endpoint, divided by those sent to a warm one: in the first and the second
  // half of the ramp, and after the ramp.
  double early = 0;
  double late = 0;
  double warm = 0;
};

// The phases of a run, in seconds.
constexpr double kSecondsBeforeLoss = 6;
constexpr double kSecondsDown = 1;
constexpr double kRampSeconds = 8;
constexpr double kSecondsAfterRamp = 5;

// Returns the endpoint's number within its cell and role.
int number_of(const routing::EndpointId& endpoint) { return endpoint.value().back() - '0'; }

simulation::Parameters parameters_of(const Scenario& scenario) {
  simulation::Parameters parameters;
  parameters.zones = 2;
  parameters.readers = parameters.writers = 4;
  parameters.mean_prompt = 1000;
  parameters.mean_answer = 50;
  parameters.reader_slots = 1;
  parameters.writer_slots = 8;
  parameters.prefill_time = micros(1 / (scenario.traffic.capacity * parameters.mean_prompt));
  parameters.decode_time =
      micros(parameters.writer_slots / (scenario.traffic.capacity * parameters.mean_answer));
  parameters.transfer_time = parameters.remote_transfer_time = Duration(2);
  parameters.network_latency = Duration(500);
  parameters.report_interval = Duration(0);
  parameters.settings = make_settings();
  parameters.settings.tenants.push_back({"other", 1000});
  parameters.settings.tick = std::chrono::milliseconds(20);
  parameters.settings.answer_slack = std::chrono::milliseconds(60);
  parameters.settings.warmup_time = micros(kRampSeconds);
  parameters.settings.overload_multiple = scenario.overload_multiple;
  parameters.settings.warmup_initial_share = scenario.initial_share;
  parameters.settings.overload_window = micros(scenario.overload_window);
  return parameters;
}

// One run of a scenario.
class Simulation {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        parameters_(parameters_of(scenario)),
        random_(seed),
        fixture_(parameters_, scenario.processes, seed) {
    fixture_.is_listed = [lost = scenario.lost_writers](const routing::EndpointInfo& entry) {
      return entry.zone != "z0" || entry.endpoint.value()[0] != 'w' || number_of(entry.endpoint) < 4 - lost;
    };
    for (std::size_t i = 0; i < scenario.processes; ++i) {
      const double weight = scenario.traffic.is_uneven && i % 5 == 0 ? 5 : 1;
      cumulative_weights_.push_back((i == 0 ? 0 : cumulative_weights_.back()) + weight);
    }
  }

  Measurement run() {
    const Time loss = fixture_.now() + micros(kSecondsBeforeLoss);
    restart_ = loss + micros(kSecondsDown);
    const Time end = restart_ + micros(kRampSeconds + kSecondsAfterRamp);
    fixture_.update_all_lists();
    fixture_.at(loss, [this] {
      fixture_.fleet().lose_endpoints(
          [this](const std::string&, routing::Role, int number) { return number < scenario_.restarted; });
      fixture_.at(fixture_.now() + Duration(1), [this] { fixture_.update_all_lists(); });
    });
    fixture_.at(restart_, [this] { fixture_.fleet().restore_endpoints(); });
    for (std::size_t i = 0; i < scenario_.processes; ++i) {
      fixture_.at(restart_ + Duration(1) + micros(scenario_.max_list_delay * random_.unit()),
                  [this, i] { fixture_.update_list(i); });
      if (scenario_.has_restarts)
        fixture_.at(restart_ + micros(kRampSeconds * random_.unit()), [this, i] { fixture_.restart(i); });
    }
    submit_next(end);
    fixture_.run_until(end);
    return measure();
  }

 private:
  using SentAttempts = std::vector<const RouterFixture::SentAttempt*>;

  [[nodiscard]] double rate() const {
    const bool is_burst = fixture_.now() > restart_ + micros(scenario_.burst_start) &&
                          fixture_.now() < restart_ + micros(scenario_.burst_start + 3);
    const double endpoints = 8 - scenario_.lost_writers;
    const double steady_rate = scenario_.load * scenario_.traffic.capacity * endpoints;
    return is_burst ? steady_rate * scenario_.traffic.burst_factor : steady_rate;
  }
  double length() {
    if (scenario_.traffic.has_exponential_lengths) return std::min(random_.exponential(1), 8.0);
    return 0.5 + random_.unit();
  }
  void submit_next(Time end) {
    fixture_.at(fixture_.now() + micros(random_.exponential(1 / rate())), [this, end] {
      if (fixture_.now() >= end) return;
      RouterFixture::Submission submission;
      const double pick = cumulative_weights_.back() * random_.unit();
      submission.process = static_cast<std::size_t>(
          std::upper_bound(cumulative_weights_.begin(), cumulative_weights_.end(), pick) -
          cumulative_weights_.begin());
      submission.request.request_class = random_.unit() < 0.3 ? "command" : "ask";
      submission.request.tenant = random_.unit() < 0.3 ? "other" : "acme";
      submission.request.session = 1 + fixture_.submissions().size();
      submission.request.prompt_tokens = 1 + static_cast<int>(parameters_.mean_prompt * length());
      submission.answer_tokens = 1 + static_cast<int>(parameters_.mean_answer * length());
      fixture_.submit(submission);
      submit_next(end);
    });
  }

  [[nodiscard]] double allowed(Time time) const {
    const double age = std::min(1.0, to_seconds(time - restart_) / kRampSeconds);
    return scenario_.overload_multiple * scenario_.traffic.capacity *
           std::lerp(scenario_.initial_share, 1.0, age) * scenario_.overload_window;
  }
  [[nodiscard]] bool is_restarted(const routing::EndpointId& endpoint) const {
    return number_of(endpoint) < scenario_.restarted;
  }

  [[nodiscard]] Measurement measure() const {
    Measurement measurement;
    std::map<routing::EndpointId, SentAttempts> by_endpoint;
    for (const auto& sent : fixture_.sent_attempts()) {
      if (is_restarted(sent.endpoint) && sent.at >= restart_) by_endpoint[sent.endpoint].push_back(&sent);
    }
    for (const auto& [endpoint, sends] : by_endpoint) measure_windows(sends, measurement);
    measurement.early = relative_share(restart_ + micros(1), restart_ + micros(kRampSeconds / 2));
    measurement.late = relative_share(restart_ + micros(kRampSeconds / 2), restart_ + micros(kRampSeconds));
    measurement.warm = relative_share(restart_ + micros(kRampSeconds + 1),
                                      restart_ + micros(kRampSeconds + kSecondsAfterRamp));
    return measurement;
  }
  // Slides a window over the attempts that were sent to one endpoint during the ramp.
  void measure_windows(const SentAttempts& sends, Measurement& measurement) const {
    double sum = 0;
    std::size_t first = 0;
    for (const RouterFixture::SentAttempt* latest : sends) {
      sum += latest->work;
      while (sends[first]->at <= latest->at - micros(scenario_.overload_window)) sum -= sends[first++]->work;
      if (latest->at > restart_ + micros(kRampSeconds)) break;
      const double limit = allowed(latest->at);
      const double bound = limit + 2 * std::sqrt(limit) + 2;
      if (measurement.bound == 0 || sum / bound > measurement.sent / measurement.bound)
        measurement = {.allowed = limit, .sent = sum, .bound = bound};
    }
  }
  // Returns the number of requests per restarted endpoint, divided by the number per warm endpoint.
  [[nodiscard]] double relative_share(Time from, Time to) const {
    double to_restarted = 0;
    double to_warm = 0;
    for (const auto& sent : fixture_.sent_attempts()) {
      if (sent.at < from || sent.at >= to) continue;
      (is_restarted(sent.endpoint) ? to_restarted : to_warm) += 1;
    }
    return to_restarted / (4 * scenario_.restarted) /
           std::max(1.0, to_warm / (16 - 4 * scenario_.restarted - scenario_.lost_writers));
  }

  Scenario scenario_;
  simulation::Parameters parameters_;
  RandomSource random_;
  RouterFixture fixture_;
  std::vector<double> cumulative_weights_;
  Time restart_{};
};

Measurement check(const Scenario& scenario, std::uint64_t seed) {
  const Measurement measurement = Simulation(scenario, seed).run();
  INFO(scenario.processes << " processes, " << scenario.traffic.name << ", load " << scenario.load
                          << ", seed " << seed << (scenario.has_restarts ? ", restarts" : "") << ": "
                          << measurement.sent << " in a window of at most " << measurement.bound << " (N "
                          << measurement.allowed << "), part of a warm peer's " << measurement.early << ", "
                          << measurement.late << ", then " << measurement.warm);
  if (std::getenv("COLD_FIGURES") != nullptr) {
    std::printf("| %zu | %s%s | %.1f | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f |\n", scenario.processes,
                scenario.traffic.name, scenario.has_restarts ? ", restarts" : "", scenario.load,
                measurement.allowed, measurement.sent, measurement.bound, measurement.early, measurement.late,
                measurement.warm);
  }
  CHECK(measurement.sent <= measurement.bound);
  CHECK(measurement.warm >= 0.5);
  return measurement;
}

constexpr Traffic kThin{.name = "thin", .capacity = 10};
constexpr Traffic kDense{.name = "dense", .capacity = 50};
constexpr Traffic kUneven{.name = "uneven", .capacity = 25, .is_uneven = true};
constexpr Traffic kBursty{.name = "bursty", .capacity = 25, .burst_factor = 2.5};
constexpr Traffic kUnevenBursts{
    .name = "uneven bursts", .capacity = 25, .is_uneven = true, .burst_factor = 2.5};
constexpr Traffic kSpread{.name = "lengths spread", .capacity = 10, .has_exponential_lengths = true};
constexpr Traffic kSpreadBursts{
    .name = "bursts, lengths spread", .capacity = 10, .burst_factor = 2.5, .has_exponential_lengths = true};

constexpr auto kSizes = {1U, 3U, 20U, 30U, 100U, 300U};

Scenario small_multiple(std::size_t processes, const Traffic& traffic, double load) {
  Scenario scenario{.processes = processes, .traffic = traffic, .load = load};
  scenario.overload_multiple = 2.5;
  scenario.initial_share = 0.29;
  scenario.overload_window = 1.5;
  return scenario;
}

TEST_CASE("an endpoint in slow start stays within its budget at half load from any number of processes",
          "[cold]") {
  for (const std::size_t processes : kSizes)
    for (const Traffic& traffic : {kThin, kUneven, kBursty, kSpread})
      check({.processes = processes, .traffic = traffic, .load = 0.5}, 11);
}

TEST_CASE("an endpoint in slow start stays within its budget at high load", "[cold]") {
  for (const std::size_t processes : kSizes)
    for (const Traffic& traffic : {kThin, kUnevenBursts, kSpreadBursts})
      check({.processes = processes, .traffic = traffic, .load = 0.8}, 12);
}

TEST_CASE("an endpoint in slow start stays within its budget under processes with a high rate", "[cold]") {
  for (const std::size_t processes : {1U, 3U, 20U, 30U})
    check({.processes = processes, .traffic = kDense, .load = 0.8}, 13);
}

TEST_CASE("processes that restart during the ramp don't overload an endpoint in slow start", "[cold]") {
  for (const std::size_t processes : kSizes) {
    for (const Traffic& traffic : {kThin, kUnevenBursts}) {
      Scenario scenario = small_multiple(processes, traffic, 0.8);
      scenario.has_restarts = true;
      check(scenario, 14);
    }
  }
}

TEST_CASE("a burst right after the start does not exceed a small multiple over a short window", "[cold]") {
  for (const std::size_t processes : {3U, 100U, 300U}) {
    for (const std::uint64_t seed : {101U, 102U, 103U}) {
      Scenario scenario = small_multiple(processes, kSpreadBursts, 0.8);
      scenario.max_list_delay = 0.1;
      scenario.burst_start = 0.2;
      check(scenario, seed);
    }
  }
}

TEST_CASE("requests served by many endpoints in slow start don't raise the budget of one of them", "[cold]") {
  const Traffic traffic{.name = "uneven bursts", .capacity = 50, .is_uneven = true, .burst_factor = 2.5};
  for (const std::size_t processes : {1U, 3U, 20U}) {
    Scenario scenario = small_multiple(processes, traffic, 0.8);
    scenario.restarted = 3;
    scenario.max_list_delay = 0.1;
    scenario.burst_start = 0.2;
    const Measurement measurement = Simulation(scenario, 102).run();
    INFO(processes << " processes: " << measurement.sent << " in a window of at most " << measurement.bound);
    CHECK(measurement.sent <= measurement.bound);
  }
}

TEST_CASE("a writer in slow start does not get all requests of a cell with few writers", "[cold]") {
  for (const std::size_t processes : {3U, 30U, 300U}) {
    Scenario scenario = small_multiple(processes, kBursty, 0.5);
    scenario.lost_writers = 3;
    scenario.max_list_delay = 0.1;
    scenario.burst_start = 0.2;
    check(scenario, 15);
  }
}

TEST_CASE("an endpoint in slow start gets more requests as its capacity grows", "[cold]") {
  for (const std::size_t processes : {1U, 3U, 20U, 300U}) {
    Scenario scenario = small_multiple(processes, {.name = "steady", .capacity = 50}, 0.5);
    scenario.max_list_delay = 0.1;
    const Measurement measurement = check(scenario, 16);
    INFO(processes << " processes: part of a warm peer's " << measurement.early << ", then "
                   << measurement.late);
    CHECK(measurement.early > 0);
    CHECK(measurement.late > 1.25 * measurement.early);
  }
}

}  // namespace
}  // namespace dispatcher::testing
