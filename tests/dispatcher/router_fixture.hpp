// Many routers, driven by events alone, before the model fleet in virtual time: each process sees its own
// traffic only, loses all when it restarts, and hears of changes when the test has it told.
#ifndef DISPATCHER_TESTS_DISPATCHER_ROUTER_FIXTURE_HPP_
#define DISPATCHER_TESTS_DISPATCHER_ROUTER_FIXTURE_HPP_

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

// The same numbers on every platform, unlike the library's distributions.
class Chance {
 public:
  explicit Chance(std::uint64_t seed) : bits_(seed) {}
  double unit() { return (static_cast<double>(bits_() >> 11U) + 0.5) / 9007199254740992.0; }
  double exponential(double mean) { return -mean * std::log(unit()); }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

 private:
  std::mt19937_64 bits_;
};

Duration micros(double seconds);
double seconds_of(Duration time);

class RouterFixture {
 public:
  struct Sent {
    Time at{};
    std::size_t process = 0;
    std::string endpoint;
    double work = 0;    // over the mean of its stage
    bool told = false;  // the process knew of the host's latest start
  };
  enum class End { kOpen, kServed, kRejected, kFailed };
  struct Ask {
    std::size_t process = 0;
    routing::Request request;  // its deadline is filled in, by class and length
    int answer = 1;            // tokens
    End end = End::kOpen;
    Time at{};
    Duration first{};  // until its first token
    Time ended{};
  };

  // Settings and fleet as in the figures; `mean_prompt` and `mean_answer` make requests of mean work.
  RouterFixture(const simulation::Statistics& figures, std::size_t processes, std::uint64_t seed);
  // ... while the routers are told other settings.
  RouterFixture(const simulation::Statistics& figures, const routing::Settings& told, std::size_t processes,
                std::uint64_t seed);

  void tell(std::size_t process);  // the list as it is now
  void tell_all();
  void restart(std::size_t process);  // what it has open is lost; it starts anew with the list it had
  std::size_t ask(Ask ask);           // its number in asks()
  void at(Time time, std::function<void()> action) { timers_.add(time, std::move(action)); }
  void run_until(Time time);

  Time now() const { return now_; }
  simulation::SimulatedFleet& fleet() { return fleet_; }
  const std::vector<Ask>& asks() const { return asks_; }
  const std::vector<Sent>& sent() const { return sent_; }
  std::function<bool(const routing::EndpointInfo&)> listed;  // what the list tells; empty: all
  bool tells_starts = true;                                  // else all look as if started long ago

 private:
  struct Attempt {
    simulation::SimulatedFleet::Work work = 0;
    std::string endpoint;
    int number = 0;
    Time sent{};
    bool out = false, begun = false;
    engine::TimerQueue::Id times_out;
  };
  struct Process {
    std::unique_ptr<routing::Router> router;
    int life = 0;
    routing::EndpointList list;
    std::map<std::string, Time> told;  // latest starts that it knows
    std::map<std::string, Attempt> attempts;
  };
  void make(std::size_t process);
  void pass(std::size_t process, const routing::Event& event);
  void carry_out(std::size_t process, const routing::Action& action);
  void send(std::size_t process, const routing::StartAttempt& send);
  void end_attempt(std::size_t process, const std::string& id, const engine::AttemptResult& ending);
  void end(const std::string& id, End how);
  routing::EndpointList list() const;
  Ask& of(const std::string& id) { return asks_[std::stoul(id)]; }

  simulation::Statistics figures_;
  routing::Settings told_;
  std::uint64_t seed_;
  Time now_ = std::chrono::seconds(1'000'000);
  engine::TimerQueue timers_;
  simulation::SimulatedFleet fleet_;
  std::map<std::string, Time> starts_;  // latest starts, told or not
  std::vector<Process> processes_;
  std::vector<Ask> asks_;
  std::vector<Sent> sent_;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_DISPATCHER_ROUTER_FIXTURE_HPP_
