// Readers and writers in virtual time: slots, queues, caches of openings, links between cells, cold starts
// and loss. Everything happens through one ordered structure of deadlines; nothing here knows a socket.
#ifndef DISPATCHER_SIMULATION_SIMULATED_FLEET_HPP_
#define DISPATCHER_SIMULATION_SIMULATED_FLEET_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine/engine.hpp"
#include "simulation/statistics.hpp"

namespace dispatcher::simulation {

// A request as a replica sees it.
struct Job {
  std::string id;
  std::uint64_t session = 0, opening = 0;
  int prompt = 0, opening_tokens = 0, answer = 0;
};

class SimulatedFleet {
 public:
  // How an attempt fares. Either `first` and then one end, or one end alone.
  struct Callbacks {
    std::function<void()> first;                              // the first token
    std::function<void(const engine::AttemptResult&)> ended;  // the last word
  };
  using Work = std::uint64_t;  // a handle; 0: none

  SimulatedFleet(const Statistics& figures, engine::TimerQueue& timers, engine::Clock clock);

  Work send(const std::string& endpoint, const Job& job, Callbacks callbacks);
  void abandon(Work work);                         // its callbacks are not called any more
  void release(const std::string& id);             // lets go of read states
  std::size_t states() const;                      // that are held
  std::size_t begun(const std::string& id) const;  // how often a writer began this request

  // What the troubles do.
  void lose(const std::function<bool(const std::string& zone, bool reader, int number)>& which);
  void bring_back();
  void slow_links(double times) { link_factor_ = times; }

  // The list as discovery tells it; told again after each change, when its time has come.
  routing::EndpointList list() const;
  void on_list(std::function<void()> action) { told_ = std::move(action); }

 private:
  struct Task {
    Work work = 0;
    Job job;
    Callbacks callbacks;
    bool running = false, streaming = false;
    engine::TimerQueue::Id next;
  };
  struct Endpoint {
    std::string name, zone;
    int cell = 0, number = 0;
    bool reader = false, up = true, listed = true;
    Time born{};  // 0: long ago
    std::deque<Work> queue;
    std::size_t busy = 0;
    std::map<Work, Task> tasks;
    std::list<std::uint64_t> recent;  // keys of what is cached, the latest first
    std::unordered_map<std::uint64_t, std::pair<int, std::list<std::uint64_t>::iterator>> cached;
    routing::LoadReport report;
    Time reported{};
  };
  void arrive(Endpoint& endpoint, Work work);
  void begin(Endpoint& endpoint, Task& task);
  void end(Endpoint& endpoint, Work work, const engine::AttemptResult& ending);
  void serve_next(Endpoint& endpoint);
  int cached(Endpoint& endpoint, const Job& job);
  void keep(Endpoint& endpoint, std::uint64_t key, int tokens);
  double speed(const Endpoint& endpoint) const;
  void refresh(Endpoint& endpoint);
  void tell_later();

  const Statistics& figures_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  std::map<std::string, Endpoint> endpoints_;
  std::unordered_map<Work, Endpoint*> where_;
  std::unordered_map<std::string, int> read_at_;  // by id: the cell whose reader holds its state
  std::unordered_map<std::string, std::size_t> begun_;
  std::function<void()> told_;
  Work last_ = 0;
  double link_factor_ = 1;
};

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_SIMULATED_FLEET_HPP_
