#include "simulation/simulated_fleet.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::simulation {

using engine::AttemptResult;
using engine::AttemptStatus;
using routing::EndpointState;

namespace {
constexpr std::size_t kMaxQueue = 64;
}

SimulatedFleet::SimulatedFleet(const Statistics& figures, engine::TimerQueue& timers, engine::Clock clock)
    : figures_(figures), timers_(timers), clock_(std::move(clock)) {
  for (int zone = 0; zone < figures.zones; ++zone) {
    for (int cell = 0; cell < figures.cells; ++cell) {
      for (int i = 0; i < figures.readers + figures.writers; ++i) {
        Endpoint h;
        h.reader = i < figures.readers;
        h.number = h.reader ? i : i - figures.readers;
        h.zone = "z" + std::to_string(zone);
        h.cell = zone * figures.cells + cell;
        h.name = (h.reader ? "r" : "w") + std::to_string(h.cell) + "-" + std::to_string(h.number);
        const std::string name = h.name;
        endpoints_.emplace(name, std::move(h));
      }
    }
  }
}

double SimulatedFleet::speed(const Endpoint& endpoint) const {
  const auto& s = figures_.settings;
  if (endpoint.born == Time{} || clock_() >= endpoint.born + s.warmup_time) return 1;
  const double age =
      static_cast<double>((clock_() - endpoint.born).count()) / static_cast<double>(s.warmup_time.count());
  return s.warmup_initial_share + (1 - s.warmup_initial_share) * age;
}

SimulatedFleet::Work SimulatedFleet::send(const std::string& name, const Job& job, Callbacks callbacks) {
  const Work work = ++last_;
  const auto it = endpoints_.find(name);
  Endpoint& endpoint = it == endpoints_.end() ? endpoints_.begin()->second : it->second;
  Task& task = endpoint.tasks[work];
  task.work = work;
  task.job = job;
  task.callbacks = std::move(callbacks);
  where_[work] = &endpoint;
  const bool known = it != endpoints_.end() && endpoint.up;
  // A host that is down refuses the connection; what is there gets the request after one way.
  task.next = timers_.add(clock_() + (known ? 1 : 2) * figures_.network, [this, &endpoint, work, known] {
    if (!known || !endpoint.up) return end(endpoint, work, {AttemptStatus::kConnectFailed, 0, {}});
    arrive(endpoint, work);
  });
  return work;
}

void SimulatedFleet::arrive(Endpoint& endpoint, Work work) {
  const std::size_t slots =
      static_cast<std::size_t>(endpoint.reader ? figures_.reader_slots : figures_.writer_slots);
  if (endpoint.busy < slots) return begin(endpoint, endpoint.tasks.at(work));
  if (endpoint.queue.size() >= kMaxQueue) return end(endpoint, work, {AttemptStatus::kFull, 0, {}});
  endpoint.queue.push_back(work);
  refresh(endpoint);
}

int SimulatedFleet::cached(Endpoint& endpoint, const Job& job) {
  int found = 0;
  for (const auto& [key, maximum] :
       {std::pair(job.opening, job.opening_tokens), std::pair(job.session, job.prompt)}) {
    const auto it = key == 0 ? endpoint.cached.end() : endpoint.cached.find(key);
    if (it != endpoint.cached.end()) found = std::max(found, std::min(maximum, it->second.first));
  }
  return found;
}

void SimulatedFleet::keep(Endpoint& endpoint, std::uint64_t key, int tokens) {
  if (key == 0 || figures_.cached_openings == 0) return;
  const auto it = endpoint.cached.find(key);
  if (it != endpoint.cached.end()) endpoint.recent.erase(it->second.second);
  endpoint.recent.push_front(key);
  endpoint.cached[key] = {std::max(tokens, it != endpoint.cached.end() ? it->second.first : 0),
                          endpoint.recent.begin()};
  if (endpoint.cached.size() <= static_cast<std::size_t>(figures_.cached_openings)) return;
  endpoint.cached.erase(endpoint.recent.back());
  endpoint.recent.pop_back();
}

void SimulatedFleet::begin(Endpoint& endpoint, Task& task) {
  ++endpoint.busy;
  task.running = true;
  refresh(endpoint);
  const Job& job = task.job;
  const Work work = task.work;
  const auto after = [&](double us, std::function<void()> action) {
    task.next =
        timers_.add(clock_() + Duration(static_cast<std::int64_t>(us / speed(endpoint))), std::move(action));
  };
  if (endpoint.reader) {
    const int kept = cached(endpoint, job);
    const double us = static_cast<double>(figures_.read_token.count()) * std::max(1, job.prompt - kept);
    return after(us, [this, &endpoint, work, kept] {
      const Job done = endpoint.tasks.at(work).job;
      keep(endpoint, done.opening, done.opening_tokens);
      keep(endpoint, done.session, done.prompt);
      read_at_[done.id] = endpoint.cell;
      AttemptResult ending{AttemptStatus::kRead, kept, {}};
      end(endpoint, work, ending);
    });
  }
  const auto state = read_at_.find(job.id);
  if (state == read_at_.end()) return end(endpoint, work, {AttemptStatus::kFull, 1, {}});
  const bool near = state->second == endpoint.cell;
  read_at_.erase(state);
  ++begun_[job.id];
  const double fetch = static_cast<double>((near ? figures_.fetch_token : figures_.fetch_far_token).count()) *
                       (near ? 1 : link_factor_) * job.prompt;
  const auto token = static_cast<double>(figures_.write_token.count());
  after(fetch + token, [this, &endpoint, work, token] {
    Task& streams = endpoint.tasks.at(work);
    streams.streaming = true;
    const double rest = token * std::max(0, streams.job.answer - 1) / speed(endpoint);
    streams.next = timers_.add(clock_() + Duration(static_cast<std::int64_t>(rest)), [this, &endpoint, work] {
      end(endpoint, work, {AttemptStatus::kServed, 0, {}});
    });
    // Last: the client may go at its first word.
    const auto first = streams.callbacks.first;
    if (first) first();
  });
}

void SimulatedFleet::end(Endpoint& endpoint, Work work, const AttemptResult& ending) {
  const auto it = endpoint.tasks.find(work);
  if (it == endpoint.tasks.end()) return;
  const bool running = it->second.running;
  const auto callbacks = std::move(it->second.callbacks);
  timers_.drop(it->second.next);
  endpoint.tasks.erase(it);
  where_.erase(work);
  std::erase(endpoint.queue, work);
  if (running) --endpoint.busy;
  refresh(endpoint);
  AttemptResult told = ending;
  told.report = endpoint.report;
  if (running && endpoint.up) serve_next(endpoint);
  // The answer's way back.
  if (callbacks.ended)
    timers_.add(clock_() + figures_.network, [ended = callbacks.ended, told] { ended(told); });
}

void SimulatedFleet::serve_next(Endpoint& endpoint) {
  if (endpoint.queue.empty()) return;
  const Work work = endpoint.queue.front();
  endpoint.queue.pop_front();
  begin(endpoint, endpoint.tasks.at(work));
}

void SimulatedFleet::refresh(Endpoint& endpoint) {
  if (clock_() - endpoint.reported < figures_.report_every) return;
  endpoint.reported = clock_();
  endpoint.report.in_hand = static_cast<double>(endpoint.busy + endpoint.queue.size());
}

void SimulatedFleet::abandon(Work work) {
  const auto it = where_.find(work);
  if (it == where_.end()) return;
  Endpoint& endpoint = *it->second;
  endpoint.tasks.at(work).callbacks = {};
  end(endpoint, work, {AttemptStatus::kCancelled, 0, {}});
}

void SimulatedFleet::release(const std::string& id) { read_at_.erase(id); }
std::size_t SimulatedFleet::states() const { return read_at_.size(); }

std::size_t SimulatedFleet::begun(const std::string& id) const {
  const auto it = begun_.find(id);
  return it == begun_.end() ? 0 : it->second;
}

void SimulatedFleet::lose(
    const std::function<bool(const std::string& zone, bool reader, int number)>& which) {
  for (auto& [name, endpoint] : endpoints_) {
    if (!endpoint.up || !which(endpoint.zone, endpoint.reader, endpoint.number)) continue;
    endpoint.up = false;
    std::vector<Work> works;
    for (const auto& [work, task] : endpoint.tasks) works.push_back(work);
    for (const Work work : works)
      end(endpoint, work, {AttemptStatus::kReset, endpoint.tasks.at(work).streaming ? 1 : 0, {}});
    endpoint.cached.clear();
    endpoint.recent.clear();
  }
  tell_later();
}

void SimulatedFleet::bring_back() {
  for (auto& [name, endpoint] : endpoints_) {
    if (endpoint.up) continue;
    endpoint.up = true;
    endpoint.born = clock_();
  }
  tell_later();
}

void SimulatedFleet::tell_later() {
  timers_.add(clock_() + figures_.list_delay, [this] {
    for (auto& [name, endpoint] : endpoints_) endpoint.listed = endpoint.up;
    if (told_) told_();
  });
}

routing::EndpointList SimulatedFleet::list() const {
  routing::EndpointList list{routing::ListKind::kFull, {}};
  for (const auto& [name, h] : endpoints_) {
    if (!h.listed) continue;
    list.entries.push_back(
        {h.name, h.zone, h.reader ? "reader" : "writer", h.cell, EndpointState::kReady, 1, h.born});
  }
  return list;
}

}  // namespace dispatcher::simulation
