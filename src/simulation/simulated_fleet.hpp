// Readers and writers in virtual time: slots, queues, prefix caches, links between cells, slow starts and
// lost endpoints. All events are timers of one queue; there are no sockets.
#ifndef DISPATCHER_SIMULATION_SIMULATED_FLEET_HPP_
#define DISPATCHER_SIMULATION_SIMULATED_FLEET_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "engine/engine.hpp"
#include "simulation/parameters.hpp"
#include "simulation/prefix_cache.hpp"

namespace dispatcher::simulation {

// A request as a replica sees it. Lengths are in tokens.
struct Job {
  engine::RequestId id;
  std::uint64_t session = 0;  // key of the prefix cache
  std::uint64_t prefix = 0;   // key of the prefix cache
  int prompt_tokens = 0;
  int prefix_tokens = 0;  // of the prompt, shared with other requests
  int answer_tokens = 0;
};

// One fleet for all dispatchers of a simulation. Single-threaded; callbacks run from timers only, never
// within the call that takes them. The parameters and the timer queue must outlive it.
class SimulatedFleet {
 public:
  // The course of an attempt: its first token, if it has one, and its end.
  struct Callbacks {
    std::function<void()> on_first_token;
    std::function<void(const engine::AttemptResult&)> on_completed;
  };
  // Selects endpoints by their zone, their role, and their number among those of their role in a cell.
  using EndpointFilter = std::function<bool(const std::string& zone, routing::Role role, int number)>;
  using TaskId = std::uint64_t;  // identifies an attempt; never 0

  SimulatedFleet(const Parameters& parameters, engine::TimerQueue& timers, engine::Clock clock);

  // Starts an attempt at an endpoint; the connection to one that is unknown or lost fails.
  TaskId send(const engine::EndpointId& endpoint, const Job& job, Callbacks callbacks);
  // Cancels an attempt; its callbacks are not called any more.
  void cancel(TaskId task_id);
  // Releases the KV cache that a reader retains for a request.
  void release(const engine::RequestId& id);
  // Requests whose KV cache is retained.
  [[nodiscard]] std::size_t retained_states() const { return retained_at_.size(); }
  // How often a writer began to decode a request.
  [[nodiscard]] std::size_t execution_count(const engine::RequestId& id) const;

  // Faults: the endpoints for which `is_lost` returns true reset their connections and refuse new ones, until
  // restore_endpoints() restarts all of them.
  void lose_endpoints(const EndpointFilter& is_lost);
  void restore_endpoints();
  // Transfers between cells take `factor` times as long.
  void slow_links(double factor) { link_slowdown_ = factor; }

  // The current endpoint list of service discovery. `action` is called after each change of it.
  [[nodiscard]] routing::EndpointList list() const;
  void on_list_change(std::function<void()> action) { list_changed_ = std::move(action); }

 private:
  // An attempt at an endpoint.
  struct Task {
    TaskId id = 0;
    Job job;
    Callbacks callbacks;
    bool is_running = false;
    bool is_streaming = false;
    engine::TimerId next_step;
  };
  struct Endpoint {
    engine::EndpointId name;
    std::string zone;
    int cell = 0;
    int number = 0;  // among those of its role in its cell
    routing::Role role{};
    bool is_up = true;
    bool is_listed = true;     // in the endpoint list, which follows is_up with a delay
    Time started_at{};         // 0: before the simulation, so that it is warm
    std::deque<TaskId> queue;  // tasks that wait for a slot
    std::size_t busy_slots = 0;
    std::map<TaskId, Task> tasks;  // waiting and running
    PrefixCache cache;
    routing::LoadReport report;
    Time reported_at{};
  };

  void add_endpoint(int zone, int cell, routing::Role role, int number);
  // An attempt reaches its endpoint, and starts or waits there.
  void arrive(Endpoint& endpoint, TaskId task_id);
  void begin(Endpoint& endpoint, Task& task);
  void begin_prefill(Endpoint& endpoint, Task& task);
  void begin_decode(Endpoint& endpoint, Task& task);
  void begin_stream(Endpoint& endpoint, TaskId task_id);
  // Removes an attempt, and reports its result after the network's latency.
  void end(Endpoint& endpoint, TaskId task_id, const engine::AttemptResult& result);
  void serve_next(Endpoint& endpoint);
  void update_report(Endpoint& endpoint);
  void schedule_list_change();
  // Schedules the next step of a task. `microseconds`: the time that it takes at full speed.
  void schedule(Endpoint& endpoint, Task& task, double microseconds, std::function<void()> action);
  [[nodiscard]] double speed(const Endpoint& endpoint) const;  // relative to a warm replica's
  [[nodiscard]] static int cached_tokens(const Endpoint& endpoint, const Job& job);

  const Parameters& parameters_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  std::map<engine::EndpointId, Endpoint> endpoints_;
  std::unordered_map<TaskId, Endpoint*> endpoint_by_task_;
  // By id: the cell whose reader retains its KV cache.
  std::unordered_map<engine::RequestId, int> retained_at_;
  std::unordered_map<engine::RequestId, std::size_t> execution_counts_;
  std::function<void()> list_changed_;
  TaskId last_task_id_ = 0;
  double link_slowdown_ = 1;
};

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_SIMULATED_FLEET_HPP_
