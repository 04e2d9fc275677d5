#include "simulation/fleet.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::simulation {

using engine::Ending;
using engine::Verdict;
using routing::HostState;

namespace {
constexpr std::size_t kMostQueue = 64;
}

Fleet::Fleet(const Figures& figures, engine::Deadlines& deadlines, engine::Clock clock)
    : figures_(figures), deadlines_(deadlines), clock_(std::move(clock)) {
  for (int zone = 0; zone < figures.zones; ++zone) {
    for (int cell = 0; cell < figures.cells; ++cell) {
      for (int i = 0; i < figures.readers + figures.writers; ++i) {
        Host h;
        h.reader = i < figures.readers;
        h.number = h.reader ? i : i - figures.readers;
        h.zone = "z" + std::to_string(zone);
        h.cell = zone * figures.cells + cell;
        h.name = (h.reader ? "r" : "w") + std::to_string(h.cell) + "-" + std::to_string(h.number);
        const std::string name = h.name;
        hosts_.emplace(name, std::move(h));
      }
    }
  }
}

double Fleet::speed(const Host& host) const {
  const auto& s = figures_.settings;
  if (host.born == Time{} || clock_() >= host.born + s.cold_time) return 1;
  const double age =
      static_cast<double>((clock_() - host.born).count()) / static_cast<double>(s.cold_time.count());
  return s.cold_share + (1 - s.cold_share) * age;
}

Fleet::Work Fleet::send(const std::string& name, const Job& job, Callbacks callbacks) {
  const Work work = ++last_;
  const auto it = hosts_.find(name);
  Host& host = it == hosts_.end() ? hosts_.begin()->second : it->second;
  Task& task = host.tasks[work];
  task.work = work;
  task.job = job;
  task.callbacks = std::move(callbacks);
  where_[work] = &host;
  const bool known = it != hosts_.end() && host.up;
  // A host that is down refuses the connection; what is there gets the request after one way.
  task.next = deadlines_.add(clock_() + (known ? 1 : 2) * figures_.network, [this, &host, work, known] {
    if (!known || !host.up) return end(host, work, {Verdict::kConnectFailed, 0, {}});
    arrive(host, work);
  });
  return work;
}

void Fleet::arrive(Host& host, Work work) {
  const std::size_t slots =
      static_cast<std::size_t>(host.reader ? figures_.reader_slots : figures_.writer_slots);
  if (host.busy < slots) return begin(host, host.tasks.at(work));
  if (host.queue.size() >= kMostQueue) return end(host, work, {Verdict::kFull, 0, {}});
  host.queue.push_back(work);
  refresh(host);
}

int Fleet::cached(Host& host, const Job& job) {
  int found = 0;
  for (const auto& [key, most] :
       {std::pair(job.opening, job.opening_tokens), std::pair(job.session, job.prompt)}) {
    const auto it = key == 0 ? host.cached.end() : host.cached.find(key);
    if (it != host.cached.end()) found = std::max(found, std::min(most, it->second.first));
  }
  return found;
}

void Fleet::keep(Host& host, std::uint64_t key, int tokens) {
  if (key == 0 || figures_.cached_openings == 0) return;
  const auto it = host.cached.find(key);
  if (it != host.cached.end()) host.recent.erase(it->second.second);
  host.recent.push_front(key);
  host.cached[key] = {std::max(tokens, it != host.cached.end() ? it->second.first : 0), host.recent.begin()};
  if (host.cached.size() <= static_cast<std::size_t>(figures_.cached_openings)) return;
  host.cached.erase(host.recent.back());
  host.recent.pop_back();
}

void Fleet::begin(Host& host, Task& task) {
  ++host.busy;
  task.running = true;
  refresh(host);
  const Job& job = task.job;
  const Work work = task.work;
  const auto after = [&](double us, std::function<void()> action) {
    task.next =
        deadlines_.add(clock_() + Duration(static_cast<std::int64_t>(us / speed(host))), std::move(action));
  };
  if (host.reader) {
    const int kept = cached(host, job);
    const double us = static_cast<double>(figures_.read_token.count()) * std::max(1, job.prompt - kept);
    return after(us, [this, &host, work, kept] {
      const Job done = host.tasks.at(work).job;
      keep(host, done.opening, done.opening_tokens);
      keep(host, done.session, done.prompt);
      read_at_[done.id] = host.cell;
      Ending ending{Verdict::kRead, kept, {}};
      end(host, work, ending);
    });
  }
  const auto state = read_at_.find(job.id);
  if (state == read_at_.end()) return end(host, work, {Verdict::kFull, 1, {}});
  const bool near = state->second == host.cell;
  read_at_.erase(state);
  ++begun_[job.id];
  const double fetch = static_cast<double>((near ? figures_.fetch_token : figures_.fetch_far_token).count()) *
                       (near ? 1 : link_factor_) * job.prompt;
  const auto token = static_cast<double>(figures_.write_token.count());
  after(fetch + token, [this, &host, work, token] {
    Task& streams = host.tasks.at(work);
    streams.streaming = true;
    const double rest = token * std::max(0, streams.job.answer - 1) / speed(host);
    streams.next = deadlines_.add(clock_() + Duration(static_cast<std::int64_t>(rest)), [this, &host, work] {
      end(host, work, {Verdict::kServed, 0, {}});
    });
    // Last: the client may go at its first word.
    const auto first = streams.callbacks.first;
    if (first) first();
  });
}

void Fleet::end(Host& host, Work work, const Ending& ending) {
  const auto it = host.tasks.find(work);
  if (it == host.tasks.end()) return;
  const bool running = it->second.running;
  const auto callbacks = std::move(it->second.callbacks);
  deadlines_.drop(it->second.next);
  host.tasks.erase(it);
  where_.erase(work);
  std::erase(host.queue, work);
  if (running) --host.busy;
  refresh(host);
  Ending told = ending;
  told.report = host.report;
  if (running && host.up) serve_next(host);
  // The answer's way back.
  if (callbacks.ended)
    deadlines_.add(clock_() + figures_.network, [ended = callbacks.ended, told] { ended(told); });
}

void Fleet::serve_next(Host& host) {
  if (host.queue.empty()) return;
  const Work work = host.queue.front();
  host.queue.pop_front();
  begin(host, host.tasks.at(work));
}

void Fleet::refresh(Host& host) {
  if (clock_() - host.reported < figures_.report_every) return;
  host.reported = clock_();
  host.report.in_hand = static_cast<double>(host.busy + host.queue.size());
}

void Fleet::abandon(Work work) {
  const auto it = where_.find(work);
  if (it == where_.end()) return;
  Host& host = *it->second;
  host.tasks.at(work).callbacks = {};
  end(host, work, {Verdict::kCancelled, 0, {}});
}

void Fleet::release(const std::string& id) { read_at_.erase(id); }
std::size_t Fleet::states() const { return read_at_.size(); }

std::size_t Fleet::begun(const std::string& id) const {
  const auto it = begun_.find(id);
  return it == begun_.end() ? 0 : it->second;
}

void Fleet::lose(const std::function<bool(const std::string& zone, bool reader, int number)>& which) {
  for (auto& [name, host] : hosts_) {
    if (!host.up || !which(host.zone, host.reader, host.number)) continue;
    host.up = false;
    std::vector<Work> works;
    for (const auto& [work, task] : host.tasks) works.push_back(work);
    for (const Work work : works)
      end(host, work, {Verdict::kReset, host.tasks.at(work).streaming ? 1 : 0, {}});
    host.cached.clear();
    host.recent.clear();
  }
  tell_later();
}

void Fleet::bring_back() {
  for (auto& [name, host] : hosts_) {
    if (host.up) continue;
    host.up = true;
    host.born = clock_();
  }
  tell_later();
}

void Fleet::tell_later() {
  deadlines_.add(clock_() + figures_.list_delay, [this] {
    for (auto& [name, host] : hosts_) host.listed = host.up;
    if (told_) told_();
  });
}

routing::HostList Fleet::list() const {
  routing::HostList list{routing::ListKind::kFull, {}};
  for (const auto& [name, h] : hosts_) {
    if (!h.listed) continue;
    list.entries.push_back(
        {h.name, h.zone, h.reader ? "reader" : "writer", h.cell, HostState::kReady, 1, h.born});
  }
  return list;
}

}  // namespace dispatcher::simulation
