#include "router_fixture.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace dispatcher::testing {

using routing::AttemptStatus;

Duration micros(double seconds) { return Duration(std::llround(seconds * 1e6)); }
double to_seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

RouterFixture::RouterFixture(const simulation::Parameters& parameters, std::size_t processes,
                             std::uint64_t seed)
    : RouterFixture(parameters, parameters.settings, processes, seed) {}

RouterFixture::RouterFixture(const simulation::Parameters& parameters, const routing::Settings& settings,
                             std::size_t processes, std::uint64_t seed)
    : parameters_(parameters),
      settings_(settings),
      seed_(seed),
      fleet_(parameters_, timers_, [this] { return now_; }),
      processes_(processes) {
  settings_.router_count = static_cast<int>(processes);
  for (std::size_t i = 0; i < processes; ++i) start(i);
}

void RouterFixture::start(std::size_t number) {
  Process& process = processes_[number];
  routing::Settings settings = settings_;
  settings.router_number = static_cast<int>(number);
  const auto incarnation = static_cast<std::uint64_t>(process.incarnation++);
  const std::uint64_t seed = seed_ * 1'000'003 + number * 977 + incarnation * 7'919;
  process.router = std::make_unique<routing::Router>(settings, seed);
}

routing::EndpointList RouterFixture::list() const {
  routing::EndpointList list = fleet_.list();
  if (!lists_start_times) {
    for (auto& entry : list.entries) entry.started = Time{};
  }
  if (is_listed) std::erase_if(list.entries, [this](const auto& entry) { return !is_listed(entry); });
  return list;
}

void RouterFixture::update_list(std::size_t process) {
  processes_[process].list = list();
  handle(process, processes_[process].list);
}

void RouterFixture::update_all_lists() {
  for (std::size_t i = 0; i < processes_.size(); ++i) update_list(i);
}

void RouterFixture::restart(std::size_t number) {
  Process& process = processes_[number];
  for (auto& [id, attempt] : std::exchange(process.attempts, {})) {
    if (!attempt.in_flight) continue;
    timers_.drop(attempt.timeout);
    fleet_.cancel(attempt.task_id);
    fleet_.release(id);
    end(id, End::kFailed);
  }
  start(number);
  handle(number, process.list);
}

void RouterFixture::submit(Submission submission) {
  const auto& classes = settings_.classes;
  routing::Request& request = submission.request;
  const auto request_class = std::find_if(classes.begin(), classes.end(), [&](const auto& candidate) {
    return candidate.name == request.request_class;
  });
  request.id = std::to_string(submissions_.size());
  request.max_tokens = 4 * submission.answer_tokens;
  request.client_deadline =
      now_ + request_class->deadline +
      2 * request_class->latency_objective_per_1000_tokens * request.prompt_tokens / 1000;
  submission.submitted_at = now_;
  submissions_.push_back(submission);
  handle(submission.process, request);
}

void RouterFixture::run_until(Time time) {
  for (auto next = timers_.next(); next && *next <= time; next = timers_.next()) {
    now_ = std::max(now_, *next);
    timers_.run(now_);
  }
  now_ = time;
}

void RouterFixture::handle(std::size_t process, const routing::Event& event) {
  for (const auto& action : processes_[process].router->handle(now_, event)) execute(process, action);
}

bool RouterFixture::is_running(std::size_t process, int incarnation) const {
  return processes_[process].incarnation == incarnation;
}

void RouterFixture::handle_if_running(std::size_t process, int incarnation, const routing::Event& event) {
  if (is_running(process, incarnation)) handle(process, event);
}

void RouterFixture::execute(std::size_t process, const routing::Action& action) {
  if (const auto* start = std::get_if<routing::StartAttempt>(&action)) {
    start_attempt(process, *start);
  } else if (const auto* cancel = std::get_if<routing::CancelAttempt>(&action)) {
    cancel_attempt(process, *cancel);
  } else if (const auto* reject = std::get_if<routing::Reject>(&action)) {
    end(reject->request, End::kRejected);
  } else if (const auto* fail = std::get_if<routing::Fail>(&action)) {
    end(fail->request, End::kFailed);
  } else if (const auto* release = std::get_if<routing::ReleaseReservation>(&action)) {
    fleet_.release(release->request);
  } else if (const auto* timer = std::get_if<routing::SetTimer>(&action)) {
    at(now_ + timer->after, [this, process, tag = timer->tag, incarnation = processes_[process].incarnation] {
      handle_if_running(process, incarnation, routing::TimerExpired{tag});
    });
  }
}

simulation::SimulatedFleet::Callbacks RouterFixture::callbacks(std::size_t process,
                                                               const routing::RequestId& id) {
  const int incarnation = processes_[process].incarnation;
  simulation::SimulatedFleet::Callbacks callbacks;
  callbacks.on_first_token = [this, process, id, incarnation] {
    if (!is_running(process, incarnation)) return;
    Attempt& attempt = processes_[process].attempts[id];
    attempt.streaming = true;
    timers_.drop(attempt.timeout);
    const Duration elapsed = now_ - attempt.sent_at;
    handle(process, routing::FirstToken{id, attempt.endpoint, attempt.number, elapsed});
  };
  callbacks.on_completed = [this, process, id, incarnation](const engine::AttemptResult& result) {
    if (is_running(process, incarnation)) end_attempt(process, id, result);
  };
  return callbacks;
}

void RouterFixture::start_attempt(std::size_t process, const routing::StartAttempt& start) {
  const Submission& submitted = submission(start.request);
  const routing::Request& request = submitted.request;
  Attempt& attempt = processes_[process].attempts[request.id];
  if (attempt.sent_at != Time{}) ++attempt.number;
  attempt.endpoint = start.endpoint;
  attempt.sent_at = now_;
  attempt.in_flight = true;
  const bool is_reader = start.endpoint.value().starts_with("r");
  const double work = is_reader ? double(request.prompt_tokens) / parameters_.mean_prompt
                                : double(submitted.answer_tokens) / parameters_.mean_answer;
  sent_attempts_.push_back({now_, process, start.endpoint, work});
  attempt.task_id = fleet_.send(start.endpoint,
                                {request.id, request.session, request.shared_prefix, request.prompt_tokens,
                                 request.prefix_tokens, submitted.answer_tokens},
                                callbacks(process, request.id));
  const int incarnation = processes_[process].incarnation;
  attempt.timeout =
      timers_.add(std::max(start.deadline, now_), [this, process, id = request.id, incarnation] {
        if (!is_running(process, incarnation)) return;
        fleet_.cancel(processes_[process].attempts[id].task_id);
        end_attempt(process, id, {AttemptStatus::kTimeout, 0, {}, {}});
      });
}

void RouterFixture::cancel_attempt(std::size_t process, const routing::CancelAttempt& cancel) {
  const Attempt& attempt = processes_[process].attempts[cancel.request];
  if (!attempt.in_flight || attempt.streaming || attempt.number != cancel.attempt) return;
  fleet_.cancel(attempt.task_id);
  at(now_, [this, process, id = cancel.request, incarnation = processes_[process].incarnation] {
    if (is_running(process, incarnation)) end_attempt(process, id, {AttemptStatus::kCancelled, 0, {}, {}});
  });
}

void RouterFixture::end_attempt(std::size_t process, const routing::RequestId& id,
                                const engine::AttemptResult& result) {
  Attempt& attempt = processes_[process].attempts[id];
  if (!attempt.in_flight) return;
  attempt.in_flight = false;
  timers_.drop(attempt.timeout);
  const bool is_served = result.status == AttemptStatus::kServed;
  // A request is not retried after its stream has begun.
  const bool has_ended = is_served || attempt.streaming;
  if (has_ended) end(id, is_served ? End::kServed : End::kFailed);
  const routing::AttemptCompleted completed{id,
                                            attempt.endpoint,
                                            attempt.number,
                                            result.status,
                                            now_ - attempt.sent_at,
                                            has_ended,
                                            result.cached_prompt_tokens,
                                            result.evidence,
                                            result.report};
  if (has_ended) processes_[process].attempts.erase(id);
  handle(process, completed);
}

void RouterFixture::end(const routing::RequestId& id, End end) {
  Submission& ended = submission(id);
  if (ended.end != End::kOpen) return;
  ended.end = end;
  ended.ended_at = now_;
}

}  // namespace dispatcher::testing
