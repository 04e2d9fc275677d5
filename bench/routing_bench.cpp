// Cost of routing decisions: one router with 100 endpoints in steady state and 100 open requests, each of
// which is received, read, answered with a first token and served. Times are per request, over its four
// events, in ns; the counters show each event and the router's timer separately.
//   cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DDISPATCHER_BENCH=ON && cmake --build build-bench
//   build-bench/bench/dispatcher_routing_bench --benchmark_repetitions=5
//   --benchmark_report_aggregates_only=true
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "routing/router.hpp"

namespace {

using namespace dispatcher::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kReaders = 50;
constexpr int kWriters = 40;
constexpr int kMixed = 10;
constexpr int kCells = 5;

// The number of later arrivals after which a request reaches each stage. kServedAfter requests are open at a
// time.
constexpr Duration kArrivalInterval = milliseconds(2);
constexpr std::size_t kReadAfter = 25;
constexpr std::size_t kFirstTokenAfter = 50;
constexpr std::size_t kServedAfter = 100;
constexpr std::size_t kTimerInterval = 10;  // in arrivals

constexpr std::uint64_t kSessions = 500;
constexpr std::uint64_t kSharedPrefixes = 20;
constexpr std::uint64_t kSeed = 1;
constexpr double kSecondsPerNanosecond = 1e-9;

Settings make_settings() {
  RequestClass request_class;
  request_class.name = "chat";
  request_class.idempotency = Idempotency::kIdempotent;
  request_class.latency_objective = seconds(1);
  request_class.deadline = seconds(6);
  request_class.token_latency_objective = milliseconds(60);
  request_class.priority_weight = 1;

  Settings settings;
  settings.router_count = 2;
  settings.zone = "east";
  settings.classes = {request_class};
  settings.kinds = {
      {"reader", Role::kReader, 200000}, {"writer", Role::kWriter, 150000}, {"mixed", Role::kMixed, 200000}};
  settings.may_cancel = true;
  settings.max_attempts = 6;
  settings.tick = milliseconds(4);
  settings.answer_slack = milliseconds(16);
  settings.reservation_limit = milliseconds(300);
  settings.warmup_initial_share = 0.3;
  settings.warmup_time = seconds(13);
  settings.overload_multiple = 3;
  settings.overload_window = seconds(3);
  return settings;
}

EndpointInfo make_endpoint(const std::string& kind, int number) {
  EndpointInfo info;
  info.endpoint = kind + "-" + std::to_string(number);
  info.zone = "east";
  info.kind = kind;
  info.cell = number % kCells;
  info.state = EndpointState::kReady;
  info.weight = 1;
  return info;
}

EndpointList make_endpoint_list() {
  EndpointList list{ListKind::kFull, {}};
  for (int i = 0; i < kReaders; ++i) list.entries.push_back(make_endpoint("reader", i));
  for (int i = 0; i < kWriters; ++i) list.entries.push_back(make_endpoint("writer", i));
  for (int i = 0; i < kMixed; ++i) list.entries.push_back(make_endpoint("mixed", i));
  return list;
}

// Total time spent in one kind of event.
struct EventTime {
  std::chrono::nanoseconds total{};
  std::size_t count = 0;

  [[nodiscard]] double mean_ns() const {
    return static_cast<double>(total.count()) / static_cast<double>(std::max<std::size_t>(1, count));
  }
};

// Times of each kind of event.
struct EventTimes {
  EventTime requests, reads, first_tokens, answers, timers;
};

// Drives a router with requests that each pass their stages at fixed times after their arrival.
class Driver {
 public:
  Driver() : router_(make_settings(), kSeed) { router_.handle(now_, make_endpoint_list()); }

  // Lets one more request arrive and one request enter each of the other stages. Returns the total time of
  // the four events.
  std::chrono::nanoseconds step() {
    now_ += kArrivalInterval;
    if (arrived_ % kTimerInterval == 0) measure(times_.timers, TimerExpired{});
    std::chrono::nanoseconds took = receive();
    if (arrived_ > kReadAfter) took += read(arrived_ - kReadAfter);
    if (arrived_ > kFirstTokenAfter) took += begin_stream(arrived_ - kFirstTokenAfter);
    if (arrived_ > kServedAfter) took += serve(arrived_ - kServedAfter);
    ++arrived_;
    return took;
  }

  void reset_times() { times_ = {}; }
  [[nodiscard]] const EventTimes& times() const { return times_; }
  [[nodiscard]] std::size_t rejected() const { return rejected_; }

 private:
  // The attempt in flight of an open request.
  struct Attempt {
    StartAttempt start;
    Time sent_at{};
    int number = -1;  // -1 before the first attempt
  };

  // Returns the attempt of the request with this number. A slot is reused after its request has been served.
  Attempt& attempt_of(std::size_t number) { return attempts_[number % attempts_.size()]; }

  // Passes the event to the router. Returns the time that it took.
  std::chrono::nanoseconds measure(EventTime& time, const Event& event) {
    const auto begin = std::chrono::steady_clock::now();
    std::vector<Action> actions = router_.handle(now_, event);
    const std::chrono::nanoseconds took = std::chrono::steady_clock::now() - begin;
    time.total += took;
    ++time.count;
    actions_ = std::move(actions);
    return took;
  }

  // Applies the actions of the last event to the attempt.
  void apply_actions(Attempt& attempt) {
    for (const Action& action : actions_) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        attempt.start = *start;
        attempt.sent_at = now_;
        ++attempt.number;
      } else if (std::holds_alternative<Reject>(action) || std::holds_alternative<Fail>(action)) {
        ++rejected_;
      }
    }
  }

  std::chrono::nanoseconds receive() {
    Request request;
    request.id = "request-" + std::to_string(arrived_);
    request.request_class = "chat";
    request.session = 1 + arrived_ % kSessions;
    request.shared_prefix = 1 + arrived_ % kSharedPrefixes;
    request.prompt_tokens = 1000;
    request.prefix_tokens = 400;
    request.client_deadline = now_ + seconds(6);
    Attempt& attempt = attempt_of(arrived_);
    attempt = {};
    const auto took = measure(times_.requests, request);
    apply_actions(attempt);
    return took;
  }

  // Completes the read of an attempt at a reader. Attempts at mixed endpoints continue with the write.
  std::chrono::nanoseconds read(std::size_t number) {
    Attempt& attempt = attempt_of(number);
    if (attempt.number < 0) return {};
    const AttemptCompleted completed = completion(attempt, AttemptStatus::kRead);
    if (completed.endpoint.value().rfind("reader", 0) != 0) return {};
    const auto took = measure(times_.reads, completed);
    apply_actions(attempt);
    return took;
  }

  std::chrono::nanoseconds begin_stream(std::size_t number) {
    const Attempt& attempt = attempt_of(number);
    if (attempt.number < 0) return {};
    return measure(times_.first_tokens, FirstToken{attempt.start.request, attempt.start.endpoint,
                                                   attempt.number, now_ - attempt.sent_at});
  }

  std::chrono::nanoseconds serve(std::size_t number) {
    Attempt& attempt = attempt_of(number);
    if (attempt.number < 0) return {};
    AttemptCompleted completed = completion(attempt, AttemptStatus::kServed);
    completed.finished = true;
    return measure(times_.answers, completed);
  }

  [[nodiscard]] AttemptCompleted completion(const Attempt& attempt, AttemptStatus status) const {
    AttemptCompleted completed;
    completed.request = attempt.start.request;
    completed.endpoint = attempt.start.endpoint;
    completed.attempt = attempt.number;
    completed.status = status;
    completed.elapsed = now_ - attempt.sent_at;
    return completed;
  }

  Router router_;
  EventTimes times_;
  Time now_ = seconds(1);
  std::size_t arrived_ = 1;
  std::size_t rejected_ = 0;
  std::vector<Attempt> attempts_{kServedAfter + 1};
  std::vector<Action> actions_;
};

void request_life(benchmark::State& state) {
  constexpr std::size_t kWarmUpSteps = 5000;  // fill the averages and the indexes of prompts
  Driver driver;
  for (std::size_t i = 0; i < kWarmUpSteps; ++i) driver.step();
  driver.reset_times();
  for ([[maybe_unused]] const auto iteration : state)
    state.SetIterationTime(static_cast<double>(driver.step().count()) * kSecondsPerNanosecond);
  const EventTimes& times = driver.times();
  state.counters["request_ns"] = times.requests.mean_ns();
  state.counters["read_ns"] = times.reads.mean_ns();
  state.counters["first_token_ns"] = times.first_tokens.mean_ns();
  state.counters["served_ns"] = times.answers.mean_ns();
  state.counters["timer_ns"] = times.timers.mean_ns();
  state.counters["reads"] =
      static_cast<double>(times.reads.count) / static_cast<double>(times.requests.count);
  state.counters["rejected"] = static_cast<double>(driver.rejected());
}

BENCHMARK(request_life)->UseManualTime()->Iterations(20000);

}  // namespace

BENCHMARK_MAIN();
