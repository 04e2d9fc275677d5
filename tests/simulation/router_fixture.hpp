// Runs many routers in front of a simulated fleet in virtual time, driven only by events. Each process sees
// only its own traffic, loses its state when it restarts, and gets the endpoint list when the test requests
// it.
#ifndef DISPATCHER_TESTS_SIMULATION_ROUTER_FIXTURE_HPP_
#define DISPATCHER_TESTS_SIMULATION_ROUTER_FIXTURE_HPP_

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "engine/timer_queue.hpp"
#include "routing/router.hpp"
#include "simulation/simulated_fleet.hpp"

namespace dispatcher::testing {

using routing::Duration;
using routing::Time;

// Generates the same random numbers on every platform, unlike the standard library's distributions.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : generator_(seed) {}
  double unit() {  // uniformly distributed between 0 and 1
    return (static_cast<double>(generator_() >> 11U) + 0.5) / 9007199254740992.0;
  }
  double exponential(double mean) { return -mean * std::log(unit()); }
  std::size_t below(std::size_t limit) {
    return static_cast<std::size_t>(unit() * static_cast<double>(limit));
  }

 private:
  std::mt19937_64 generator_;
};

// Converts seconds to a duration, rounded to microseconds.
[[nodiscard]] Duration micros(double seconds);
[[nodiscard]] double to_seconds(Duration duration);

// The processes, their clients and the fleet. Single-threaded: all routers run in timers of one queue.
class RouterFixture {
 public:
  // An attempt that a process sent.
  struct SentAttempt {
    Time at{};
    std::size_t process = 0;
    routing::EndpointId endpoint;
    double work = 0;  // as a multiple of the mean work of its stage
  };
  // How a request ended; kOpen means that it has not ended yet.
  enum class End { kOpen, kServed, kRejected, kFailed };
  // A request that a client submits to one process.
  struct Submission {
    std::size_t process = 0;
    routing::Request request;  // submit() sets its id, max_tokens and client_deadline
    int answer_tokens = 1;
    End end = End::kOpen;
    Time submitted_at{};
    Time ended_at{};
  };

  // Uses the settings and the fleet of the parameters. A request of mean work has the parameters' mean
  // lengths.
  RouterFixture(const simulation::Parameters& parameters, std::size_t processes, std::uint64_t seed);
  // Uses `settings` for the routers, and those of the parameters for the fleet.
  RouterFixture(const simulation::Parameters& parameters, const routing::Settings& settings,
                std::size_t processes, std::uint64_t seed);

  // Passes the current endpoint list to the process.
  void update_list(std::size_t process);
  void update_all_lists();
  // Restarts a process. Its open requests fail, and it starts with empty state and its previous endpoint
  // list.
  void restart(std::size_t process);
  void submit(Submission submission);  // at the current time
  void at(Time time, std::function<void()> action) { timers_.add(time, std::move(action)); }
  void run_until(Time time);

  [[nodiscard]] Time now() const { return now_; }
  simulation::SimulatedFleet& fleet() { return fleet_; }
  [[nodiscard]] const std::vector<Submission>& submissions() const { return submissions_; }
  [[nodiscard]] const std::vector<SentAttempt>& sent_attempts() const { return sent_attempts_; }
  // Selects the endpoints that the list contains; if empty, the list contains all.
  std::function<bool(const routing::EndpointInfo&)> is_listed;
  // Whether the list contains the endpoints' start times; if not, all of them appear to have started long
  // ago.
  bool lists_start_times = true;

 private:
  struct Attempt {
    simulation::SimulatedFleet::TaskId task_id = 0;
    routing::EndpointId endpoint;
    int number = 0;
    Time sent_at{};
    bool in_flight = false;
    bool streaming = false;
    engine::TimerId timeout;
  };
  struct Process {
    std::unique_ptr<routing::Router> router;
    int incarnation = 0;
    routing::EndpointList list;
    std::map<routing::RequestId, Attempt> attempts;
  };
  void start(std::size_t process);
  void handle(std::size_t process, const routing::Event& event);
  void execute(std::size_t process, const routing::Action& action);
  void start_attempt(std::size_t process, const routing::StartAttempt& start);
  void cancel_attempt(std::size_t process, const routing::CancelAttempt& cancel);
  void end_attempt(std::size_t process, const routing::RequestId& id, const engine::AttemptResult& result);
  void end(const routing::RequestId& id, End end);
  // Passes an event to a process, unless the process has restarted since the given incarnation.
  void handle_if_running(std::size_t process, int incarnation, const routing::Event& event);
  [[nodiscard]] bool is_running(std::size_t process, int incarnation) const;
  simulation::SimulatedFleet::Callbacks callbacks(std::size_t process, const routing::RequestId& id);
  [[nodiscard]] routing::EndpointList list() const;
  Submission& submission(const routing::RequestId& id) { return submissions_[std::stoul(id.value())]; }

  simulation::Parameters parameters_;
  routing::Settings settings_;
  std::uint64_t seed_;
  Time now_ = std::chrono::seconds(1'000'000);
  engine::TimerQueue timers_;
  simulation::SimulatedFleet fleet_;
  std::vector<Process> processes_;
  std::vector<Submission> submissions_;
  std::vector<SentAttempt> sent_attempts_;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_SIMULATION_ROUTER_FIXTURE_HPP_
