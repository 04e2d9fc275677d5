#include "router_fixture.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace dispatcher::testing {

using routing::AttemptStatus;

Duration micros(double seconds) { return Duration(std::llround(seconds * 1e6)); }
double seconds_of(Duration time) { return static_cast<double>(time.count()) / 1e6; }

RouterFixture::RouterFixture(const simulation::Statistics& figures, std::size_t processes, std::uint64_t seed)
    : RouterFixture(figures, figures.settings, processes, seed) {}

RouterFixture::RouterFixture(const simulation::Statistics& figures, const routing::Settings& told,
                             std::size_t processes, std::uint64_t seed)
    : figures_(figures),
      told_(told),
      seed_(seed),
      fleet_(figures_, timers_, [this] { return now_; }),
      processes_(processes) {
  told_.router_count = static_cast<int>(processes);
  fleet_.on_list([this] {
    for (const auto& entry : fleet_.list().entries) starts_[entry.endpoint] = entry.started;
  });
  for (std::size_t i = 0; i < processes; ++i) make(i);
}

void RouterFixture::make(std::size_t process) {
  Process& p = processes_[process];
  routing::Settings settings = told_;
  settings.router_number = static_cast<int>(process);
  const auto life = static_cast<std::uint64_t>(p.life++);
  p.router = std::make_unique<routing::Router>(settings, seed_ * 1'000'003 + process * 977 + life * 7'919);
}

routing::EndpointList RouterFixture::list() const {
  routing::EndpointList list = fleet_.list();
  for (auto& entry : list.entries) entry.started = tells_starts ? entry.started : Time{};
  if (listed) std::erase_if(list.entries, [this](const auto& entry) { return !listed(entry); });
  return list;
}

void RouterFixture::tell(std::size_t process) {
  Process& p = processes_[process];
  p.list = list();
  p.told.clear();
  for (const routing::EndpointInfo& entry : p.list.entries) p.told[entry.endpoint] = entry.started;
  pass(process, p.list);
}

void RouterFixture::tell_all() {
  for (std::size_t i = 0; i < processes_.size(); ++i) tell(i);
}

void RouterFixture::restart(std::size_t process) {
  Process& p = processes_[process];
  for (auto& [id, a] : std::exchange(p.attempts, {})) {
    if (!a.out) continue;
    timers_.drop(a.times_out);
    fleet_.abandon(a.work);
    fleet_.release(id);
    end(id, End::kFailed);
  }
  make(process);
  pass(process, p.list);
}

std::size_t RouterFixture::ask(Ask ask) {
  const std::size_t number = asks_.size();
  const auto& classes = told_.classes;
  const auto cls = std::find_if(classes.begin(), classes.end(),
                                [&](const auto& c) { return c.name == ask.request.request_class; });
  ask.request.id = std::to_string(number);
  ask.request.max_tokens = 4 * ask.answer;
  ask.request.client_deadline =
      now_ + cls->deadline + 2 * cls->latency_objective_per_1000_tokens * ask.request.prompt_tokens / 1000;
  ask.at = now_;
  asks_.push_back(ask);
  pass(ask.process, ask.request);
  return number;
}

void RouterFixture::run_until(Time time) {
  for (auto next = timers_.next(); next && *next <= time; next = timers_.next()) {
    now_ = std::max(now_, *next);
    timers_.run(now_);
  }
  now_ = time;
}

void RouterFixture::pass(std::size_t process, const routing::Event& event) {
  for (const auto& action : processes_[process].router->handle(now_, event)) carry_out(process, action);
}

void RouterFixture::carry_out(std::size_t process, const routing::Action& action) {
  Process& p = processes_[process];
  if (const auto* s = std::get_if<routing::StartAttempt>(&action)) return send(process, *s);
  if (const auto* r = std::get_if<routing::Reject>(&action)) return end(r->request, End::kRejected);
  if (const auto* f = std::get_if<routing::Fail>(&action)) return end(f->request, End::kFailed);
  if (const auto* l = std::get_if<routing::ReleaseReservation>(&action)) return fleet_.release(l->request);
  if (const auto* t = std::get_if<routing::SetTimer>(&action)) {
    at(now_ + t->after, [this, process, tag = t->tag, life = p.life] {
      if (processes_[process].life == life) pass(process, routing::TimerExpired{tag});
    });
  }
  if (const auto* c = std::get_if<routing::CancelAttempt>(&action)) {
    const Attempt& a = p.attempts[c->request];
    if (!a.out || a.begun || a.number != c->attempt) return;
    fleet_.abandon(a.work);
    at(now_, [this, process, id = c->request, life = p.life] {
      if (processes_[process].life == life) end_attempt(process, id, {AttemptStatus::kCancelled, 0, {}});
    });
  }
}

void RouterFixture::send(std::size_t process, const routing::StartAttempt& send) {
  Process& p = processes_[process];
  Ask& ask = of(send.request);
  const routing::Request& r = ask.request;
  Attempt& a = p.attempts[r.id];
  a.number += a.sent == Time{} ? 0 : 1;
  a.endpoint = send.endpoint;
  a.sent = now_;
  a.out = true;
  const bool reads = send.endpoint.starts_with("r");
  const double work =
      reads ? double(r.prompt_tokens) / figures_.prompt : double(ask.answer) / figures_.answer;
  const auto told = p.told.find(send.endpoint);
  sent_.push_back(
      {now_, process, send.endpoint, work, told != p.told.end() && told->second == starts_[send.endpoint]});
  const int life = p.life;
  simulation::SimulatedFleet::Callbacks callbacks;
  callbacks.first = [this, process, id = r.id, life] {
    Process& then = processes_[process];
    if (then.life != life) return;
    Attempt& began = then.attempts[id];
    began.begun = true;
    timers_.drop(began.times_out);
    of(id).first = now_ - of(id).at;
    pass(process, routing::FirstToken{id, began.endpoint, began.number, now_ - began.sent});
  };
  callbacks.ended = [this, process, id = r.id, life](const engine::AttemptResult& ending) {
    if (processes_[process].life == life) end_attempt(process, id, ending);
  };
  a.work = fleet_.send(send.endpoint,
                       {r.id, r.session, r.shared_prefix, r.prompt_tokens, r.prefix_tokens, ask.answer},
                       std::move(callbacks));
  a.times_out = timers_.add(std::max(send.deadline, now_), [this, process, id = r.id, life] {
    if (processes_[process].life != life) return;
    fleet_.abandon(processes_[process].attempts[id].work);
    end_attempt(process, id, {AttemptStatus::kTimeout, 0, {}});
  });
}

void RouterFixture::end_attempt(std::size_t process, const std::string& id,
                                const engine::AttemptResult& ending) {
  Attempt& a = processes_[process].attempts[id];
  if (!a.out) return;
  a.out = false;
  timers_.drop(a.times_out);
  const bool served = ending.status == AttemptStatus::kServed;
  if (served || a.begun) end(id, served ? End::kServed : End::kFailed);
  const routing::AttemptCompleted outcome{
      id, a.endpoint, a.number, ending.status, now_ - a.sent, served || a.begun, ending.note, ending.report};
  if (served || a.begun) processes_[process].attempts.erase(id);
  pass(process, outcome);
}

void RouterFixture::end(const std::string& id, End how) {
  Ask& ask = of(id);
  if (ask.end != End::kOpen) return;
  ask.end = how;
  ask.ended = now_;
}

}  // namespace dispatcher::testing
