#include "simulation/simulated_fleet.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::simulation {

using engine::AttemptResult;
using engine::AttemptStatus;
using routing::AttemptEvidence;
using routing::EndpointState;
using routing::Role;

namespace {

// The maximum number of requests that wait at one endpoint. It rejects further ones as full.
constexpr std::size_t kMaxQueue = 64;

}  // namespace

SimulatedFleet::SimulatedFleet(const Parameters& parameters, engine::TimerQueue& timers, engine::Clock clock)
    : parameters_(parameters), timers_(timers), clock_(std::move(clock)) {
  for (int zone = 0; zone < parameters.zones; ++zone) {
    for (int i = 0; i < parameters.cells; ++i) {
      const int cell = zone * parameters.cells + i;
      for (int number = 0; number < parameters.readers; ++number)
        add_endpoint(zone, cell, Role::kReader, number);
      for (int number = 0; number < parameters.writers; ++number)
        add_endpoint(zone, cell, Role::kWriter, number);
    }
  }
}

void SimulatedFleet::add_endpoint(int zone, int cell, Role role, int number) {
  const bool is_reader = role == Role::kReader;
  Endpoint endpoint;
  endpoint.role = role;
  endpoint.number = number;
  endpoint.zone = "z" + std::to_string(zone);
  endpoint.cell = cell;
  endpoint.name = (is_reader ? "r" : "w") + std::to_string(cell) + "-" + std::to_string(number);
  const engine::EndpointId name = endpoint.name;
  endpoints_.emplace(name, std::move(endpoint));
}

double SimulatedFleet::speed(const Endpoint& endpoint) const {
  const auto& settings = parameters_.settings;
  const bool is_warm =
      endpoint.started_at == Time{} || clock_() >= endpoint.started_at + settings.warmup_time;
  if (is_warm) return 1;
  const double age = static_cast<double>((clock_() - endpoint.started_at).count()) /
                     static_cast<double>(settings.warmup_time.count());
  return settings.warmup_initial_share + (1 - settings.warmup_initial_share) * age;
}

SimulatedFleet::TaskId SimulatedFleet::send(const engine::EndpointId& name, const Job& job,
                                            Callbacks callbacks) {
  const TaskId task_id = ++last_task_id_;
  const auto it = endpoints_.find(name);
  Endpoint& endpoint = it == endpoints_.end() ? endpoints_.begin()->second : it->second;
  Task& task = endpoint.tasks[task_id];
  task.id = task_id;
  task.job = job;
  task.callbacks = std::move(callbacks);
  endpoint_by_task_[task_id] = &endpoint;
  const bool is_reachable = it != endpoints_.end() && endpoint.is_up;
  // A request takes one network latency to arrive. A refused connection is reported after a round trip.
  const int latencies = is_reachable ? 1 : 2;
  task.next_step = timers_.add(clock_() + latencies * parameters_.network_latency,
                               [this, &endpoint, task_id, is_reachable] {
                                 if (!is_reachable || !endpoint.is_up)
                                   return end(endpoint, task_id, {AttemptStatus::kConnectFailed, 0, {}, {}});
                                 arrive(endpoint, task_id);
                               });
  return task_id;
}

void SimulatedFleet::arrive(Endpoint& endpoint, TaskId task_id) {
  const int slots = endpoint.role == Role::kReader ? parameters_.reader_slots : parameters_.writer_slots;
  if (endpoint.busy_slots < static_cast<std::size_t>(slots))
    return begin(endpoint, endpoint.tasks.at(task_id));
  if (endpoint.queue.size() >= kMaxQueue) return end(endpoint, task_id, {AttemptStatus::kFull, 0, {}, {}});
  endpoint.queue.push_back(task_id);
  update_report(endpoint);
}

int SimulatedFleet::cached_tokens(const Endpoint& endpoint, const Job& job) {
  const int of_prefix = std::min(job.prefix_tokens, endpoint.cache.cached_tokens(job.prefix));
  const int of_session = std::min(job.prompt_tokens, endpoint.cache.cached_tokens(job.session));
  return std::max(of_prefix, of_session);
}

void SimulatedFleet::schedule(Endpoint& endpoint, Task& task, double microseconds,
                              std::function<void()> action) {
  const Duration duration(static_cast<std::int64_t>(microseconds / speed(endpoint)));
  task.next_step = timers_.add(clock_() + duration, std::move(action));
}

void SimulatedFleet::begin(Endpoint& endpoint, Task& task) {
  ++endpoint.busy_slots;
  task.is_running = true;
  update_report(endpoint);
  if (endpoint.role == Role::kReader) {
    begin_prefill(endpoint, task);
  } else {
    begin_decode(endpoint, task);
  }
}

void SimulatedFleet::begin_prefill(Endpoint& endpoint, Task& task) {
  const int cached = cached_tokens(endpoint, task.job);
  const double microseconds =
      static_cast<double>(parameters_.prefill_time.count()) * std::max(1, task.job.prompt_tokens - cached);
  schedule(endpoint, task, microseconds, [this, &endpoint, task_id = task.id, cached] {
    const Job job = endpoint.tasks.at(task_id).job;
    const auto capacity = static_cast<std::size_t>(parameters_.cached_prefixes);
    endpoint.cache.insert(job.prefix, job.prefix_tokens, capacity);
    endpoint.cache.insert(job.session, job.prompt_tokens, capacity);
    retained_at_[job.id] = endpoint.cell;
    end(endpoint, task_id, {AttemptStatus::kRead, cached, {}, {}});
  });
}

void SimulatedFleet::begin_decode(Endpoint& endpoint, Task& task) {
  const auto state = retained_at_.find(task.job.id);
  if (state == retained_at_.end())
    return end(endpoint, task.id, {AttemptStatus::kFull, 0, AttemptEvidence::kStateNotFound, {}});
  const bool is_same_cell = state->second == endpoint.cell;
  retained_at_.erase(state);
  ++execution_counts_[task.job.id];
  const Duration per_token = is_same_cell ? parameters_.transfer_time : parameters_.remote_transfer_time;
  const double transfer =
      static_cast<double>(per_token.count()) * (is_same_cell ? 1 : link_slowdown_) * task.job.prompt_tokens;
  const auto first_token = static_cast<double>(parameters_.decode_time.count());
  schedule(endpoint, task, transfer + first_token,
           [this, &endpoint, task_id = task.id] { begin_stream(endpoint, task_id); });
}

void SimulatedFleet::begin_stream(Endpoint& endpoint, TaskId task_id) {
  Task& task = endpoint.tasks.at(task_id);
  task.is_streaming = true;
  const auto token = static_cast<double>(parameters_.decode_time.count());
  const double other_tokens = token * std::max(0, task.job.answer_tokens - 1);
  schedule(endpoint, task, other_tokens, [this, &endpoint, task_id] {
    end(endpoint, task_id, {AttemptStatus::kServed, 0, {}, {}});
  });
  // Called last and through a copy, because the client may close the stream at its first token, which removes
  // the task.
  const auto on_first_token = task.callbacks.on_first_token;
  if (on_first_token) on_first_token();
}

void SimulatedFleet::end(Endpoint& endpoint, TaskId task_id, const AttemptResult& result) {
  const auto it = endpoint.tasks.find(task_id);
  if (it == endpoint.tasks.end()) return;
  const bool was_running = it->second.is_running;
  const auto callbacks = std::move(it->second.callbacks);
  timers_.drop(it->second.next_step);
  endpoint.tasks.erase(it);
  endpoint_by_task_.erase(task_id);
  std::erase(endpoint.queue, task_id);
  if (was_running) --endpoint.busy_slots;
  update_report(endpoint);
  AttemptResult reported = result;
  reported.report = endpoint.report;
  if (was_running && endpoint.is_up) serve_next(endpoint);
  if (!callbacks.on_completed) return;
  // The answer takes one network latency to arrive at the dispatcher.
  timers_.add(clock_() + parameters_.network_latency,
              [on_completed = callbacks.on_completed, reported] { on_completed(reported); });
}

void SimulatedFleet::serve_next(Endpoint& endpoint) {
  if (endpoint.queue.empty()) return;
  const TaskId task_id = endpoint.queue.front();
  endpoint.queue.pop_front();
  begin(endpoint, endpoint.tasks.at(task_id));
}

void SimulatedFleet::update_report(Endpoint& endpoint) {
  if (clock_() - endpoint.reported_at < parameters_.report_interval) return;
  endpoint.reported_at = clock_();
  endpoint.report.in_flight = static_cast<double>(endpoint.busy_slots + endpoint.queue.size());
}

void SimulatedFleet::cancel(TaskId task_id) {
  const auto it = endpoint_by_task_.find(task_id);
  if (it == endpoint_by_task_.end()) return;
  Endpoint& endpoint = *it->second;
  endpoint.tasks.at(task_id).callbacks = {};
  end(endpoint, task_id, {AttemptStatus::kCancelled, 0, {}, {}});
}

void SimulatedFleet::release(const engine::RequestId& id) { retained_at_.erase(id); }

std::size_t SimulatedFleet::execution_count(const engine::RequestId& id) const {
  const auto it = execution_counts_.find(id);
  return it == execution_counts_.end() ? 0 : it->second;
}

void SimulatedFleet::lose_endpoints(const EndpointFilter& is_lost) {
  for (auto& [name, endpoint] : endpoints_) {
    if (!endpoint.is_up || !is_lost(endpoint.zone, endpoint.role, endpoint.number)) continue;
    endpoint.is_up = false;
    std::vector<TaskId> ids;
    for (const auto& [id, task] : endpoint.tasks) ids.push_back(id);
    for (const TaskId task_id : ids) {
      const bool is_streaming = endpoint.tasks.at(task_id).is_streaming;
      const auto evidence = is_streaming ? AttemptEvidence::kEndpointRunning : AttemptEvidence::kNone;
      end(endpoint, task_id, {AttemptStatus::kReset, 0, evidence, {}});
    }
    endpoint.cache.clear();
  }
  schedule_list_change();
}

void SimulatedFleet::restore_endpoints() {
  for (auto& [name, endpoint] : endpoints_) {
    if (endpoint.is_up) continue;
    endpoint.is_up = true;
    endpoint.started_at = clock_();
  }
  schedule_list_change();
}

void SimulatedFleet::schedule_list_change() {
  timers_.add(clock_() + parameters_.discovery_delay, [this] {
    for (auto& [name, endpoint] : endpoints_) endpoint.is_listed = endpoint.is_up;
    if (list_changed_) list_changed_();
  });
}

routing::EndpointList SimulatedFleet::list() const {
  routing::EndpointList list{routing::ListKind::kFull, {}};
  for (const auto& [name, endpoint] : endpoints_) {
    if (!endpoint.is_listed) continue;
    const char* const kind = endpoint.role == Role::kReader ? "reader" : "writer";
    list.entries.push_back(
        {endpoint.name, endpoint.zone, kind, endpoint.cell, EndpointState::kReady, 1, endpoint.started_at});
  }
  return list;
}

}  // namespace dispatcher::simulation
