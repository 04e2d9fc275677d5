// Simulates readers and writers in virtual time, with their slots, queues, prefix caches, links between
// cells, slow starts and failures. All events are timers of one queue; there are no sockets.
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

// A request as an endpoint sees it.
struct Job {
  engine::RequestId id;
  std::uint64_t session = 0;  // key in prefix caches
  std::uint64_t prefix = 0;   // key in prefix caches
  int prompt_tokens = 0;
  int prefix_tokens = 0;  // the part of the prompt that is shared with other requests
  int answer_tokens = 0;
};

// The fleet that all dispatchers of a simulation share. Single-threaded. Callbacks run only from timers,
// never within the call that they are passed to. The parameters and the timer queue must outlive the fleet.
class SimulatedFleet {
 public:
  // Called at the first token of an attempt, if it produces one, and when the attempt has ended.
  struct Callbacks {
    std::function<void()> on_first_token;
    std::function<void(const engine::AttemptResult&)> on_completed;
  };
  // Selects endpoints by zone, role and number. Numbers count from 0 among the endpoints of a role in a cell.
  using EndpointFilter = std::function<bool(const std::string& zone, routing::Role role, int number)>;
  using TaskId = std::uint64_t;  // identifies an attempt; never 0

  SimulatedFleet(const Parameters& parameters, engine::TimerQueue& timers, engine::Clock clock);

  // Starts an attempt at an endpoint. The connection to an unknown or lost endpoint fails.
  TaskId send(const engine::EndpointId& endpoint, const Job& job, Callbacks callbacks);
  // Cancels an attempt. Its callbacks are not called after that.
  void cancel(TaskId task_id);
  // Releases the KV cache that a reader retains for a request.
  void release(const engine::RequestId& id);
  // Returns the number of requests whose KV cache is retained.
  [[nodiscard]] std::size_t retained_states() const { return retained_at_.size(); }
  // Returns how many times writers began to decode a request.
  [[nodiscard]] std::size_t execution_count(const engine::RequestId& id) const;

  // Makes the endpoints for which `is_lost` returns true reset their connections and refuse new ones until
  // restore_endpoints() restarts all of them.
  void lose_endpoints(const EndpointFilter& is_lost);
  void restore_endpoints();
  // Makes transfers between cells take `factor` times as long.
  void slow_links(double factor) { link_slowdown_ = factor; }

  // Returns the current endpoint list of service discovery.
  [[nodiscard]] routing::EndpointList list() const;
  // Sets the action to call after each change of the endpoint list.
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
    int number = 0;  // among the endpoints of its role in its cell
    routing::Role role{};
    bool is_up = true;
    bool is_listed = true;     // whether the endpoint list contains it; follows is_up with a delay
    Time started_at{};         // 0 means that it started before the simulation and is warm
    std::deque<TaskId> queue;  // tasks that wait for a slot
    std::size_t busy_slots = 0;
    std::map<TaskId, Task> tasks;  // on their way, waiting and running
    PrefixCache cache;
    routing::LoadReport report;
    Time reported_at{};
  };

  void add_endpoint(int zone, int cell, routing::Role role, int number);
  // Called when an attempt reaches its endpoint. Starts or queues it there, or rejects it if the queue is
  // full.
  void arrive(Endpoint& endpoint, TaskId task_id);
  void begin(Endpoint& endpoint, Task& task);
  void begin_prefill(Endpoint& endpoint, Task& task);
  void begin_decode(Endpoint& endpoint, Task& task);
  void begin_stream(Endpoint& endpoint, TaskId task_id);
  // Removes an attempt, and reports its result after one network latency.
  void end(Endpoint& endpoint, TaskId task_id, const engine::AttemptResult& result);
  void serve_next(Endpoint& endpoint);
  void update_report(Endpoint& endpoint);
  void schedule_list_change();
  // Schedules the next step of a task. `microseconds` is the time that the current step takes on a warm
  // endpoint.
  void schedule(Endpoint& endpoint, Task& task, double microseconds, std::function<void()> action);
  [[nodiscard]] double speed(const Endpoint& endpoint) const;  // relative to a warm endpoint
  [[nodiscard]] static int cached_tokens(const Endpoint& endpoint, const Job& job);

  const Parameters& parameters_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  std::map<engine::EndpointId, Endpoint> endpoints_;
  std::unordered_map<TaskId, Endpoint*> endpoint_by_task_;
  // The cell whose reader retains the KV cache of a request, by request id.
  std::unordered_map<engine::RequestId, int> retained_at_;
  std::unordered_map<engine::RequestId, std::size_t> execution_counts_;
  std::function<void()> list_changed_;
  TaskId last_task_id_ = 0;
  double link_slowdown_ = 1;
};

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_SIMULATED_FLEET_HPP_
