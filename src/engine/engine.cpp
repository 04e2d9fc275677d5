#include "engine/engine.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace dispatcher::engine {

using namespace dispatcher::routing;
using std::chrono::milliseconds;

namespace {

// A client may be left waiting for less than 5 s after a running replica's last event; a slow replica's
// events come seconds apart at worst, so the stream is cut as late as that allows.
constexpr Duration kSilence = milliseconds(4300);
// A read that went astray is let go of only when the replica has had time to notice its end: a call that
// overtook it would find nothing. Part of the pin limit.
constexpr int kStrayPart = 4;
constexpr std::size_t kDepartedKept = 512;

}  // namespace

bool Engine::InFlightRequest::any_out() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
}

Engine::Engine(SettingsSnapshot rules, std::uint64_t seed, UpstreamClient& upstream, TimerQueue& timers,
               Clock clock, Log log)
    : rules_(std::move(rules)),
      upstream_(upstream),
      timers_(timers),
      clock_(std::move(clock)),
      log_(std::move(log)),
      router_(*rules_, seed) {}

// ---- fronts ----

namespace {
Duration aim_of(const Settings& rules, const Request& request) {
  const auto it = std::find_if(rules.classes.begin(), rules.classes.end(),
                               [&](const RequestClass& c) { return c.name == request.request_class; });
  if (it == rules.classes.end()) return {};
  return it->latency_objective + it->latency_objective_per_1000_tokens * request.prompt_tokens / 1000;
}
}  // namespace

SlotId Engine::submit(ResponseSink& front, SlotId client, const Request& request,
                      std::shared_ptr<const UpstreamRequest> message) {
  const SlotId id = requests_.emplace();
  InFlightRequest& flight = *requests_.find(id);
  flight.front = &front;
  flight.client = client;
  flight.id = request.id;
  flight.rules = rules_;
  flight.message = std::move(message);
  flight.deadline = request.client_deadline;
  flight.request_class = request.request_class;
  flight.aim = clock_() + aim_of(*rules_, request);
  by_id_[request.id] = id;
  if (hot_restart_observer_ != nullptr) hot_restart_observer_->tell_request(request.id, true);
  request_log_.taken(request, clock_());
  ++unanswered_;
  // The router answers by the deadline by itself. Should it ever fail to, the client still gets its answer.
  flight.overdue = timers_.add(request.client_deadline + rules_->answer_slack, [this, id] {
    InFlightRequest* late = requests_.find(id);
    if (late == nullptr || late->answered) return;
    log_("request " + late->id + " overdue: failed by the core");
    late->front->fail(late->client, Failure::kDeadlineExceeded);
    answered(*late);
    feed(ClientGone{late->id});
    settle(id);
  });
  feed(request);
  return id;
}

void Engine::client_gone(SlotId id) {
  InFlightRequest* flight = requests_.find(id);
  if (flight == nullptr || flight->answered) return;
  answered(*flight);
  const auto streaming = flight->streaming;
  const std::string name = flight->id;
  request_log_.answered(name, "client-gone");
  give_up_unwritten(id);
  feed(ClientGone{name});
  // The router leaves a running stream alone; nobody reads it any more, so its work must stop here.
  if (streaming) give_up_attempt(id, *streaming, AttemptStatus::kCancelled);
  if ((flight = requests_.find(id)) != nullptr && flight->held.may_hold() && !any_under_way(id))
    stray(id, false);
  settle(id);
}

// What still waits for a connection would be written after its client has gone: it ends here, also where the
// router may cancel nothing.
void Engine::give_up_unwritten(SlotId id) {
  for (int i = 0; const InFlightRequest* flight = requests_.find(id); ++i) {
    if (i >= static_cast<int>(flight->attempts.size())) return;
    const bool out = flight->attempts[static_cast<std::size_t>(i)].out;
    if (out && flight->streaming != i && !upstream_.under_way({id, i}))
      give_up_attempt(id, i, AttemptStatus::kNeverSent);
  }
}

void Engine::resume(SlotId id) {
  InFlightRequest* flight = requests_.find(id);
  if (flight == nullptr || !flight->paused || !flight->streaming) return;
  flight->paused = false;
  watch_silence(id);
  upstream_.resume({id, *flight->streaming});
}

bool Engine::waits(SlotId id) {
  const InFlightRequest* flight = requests_.find(id);
  return flight != nullptr && !flight->answered;
}

void Engine::adopt(SettingsSnapshot rules) {
  rules_ = std::move(rules);
  feed(SettingsChanged{rules_});
}

// ---- discovery ----

void Engine::endpoints(const EndpointList& list) {
  if (list.kind != ListKind::kDelta) {
    for (const auto& [endpoint, role] : std::exchange(roles_, {})) depart(endpoint);
  }
  for (const EndpointInfo& entry : list.entries) {
    if (entry.state == EndpointState::kRemoved) {
      if (roles_.erase(entry.endpoint) > 0) depart(entry.endpoint);
      continue;
    }
    for (const EndpointKind& kind : rules_->kinds) {
      if (kind.name == entry.kind) roles_[entry.endpoint] = kind.role;
    }
  }
  feed(list);
}

void Engine::depart(const std::string& endpoint) {
  std::erase(departed_, endpoint);
  departed_.push_back(endpoint);
  if (departed_.size() > kDepartedKept) departed_.pop_front();
}

bool Engine::knows(const std::string& endpoint) const {
  return roles_.contains(endpoint) ||
         std::find(departed_.begin(), departed_.end(), endpoint) != departed_.end();
}

// ---- the other process ----

std::vector<std::string> Engine::open_ids() const {
  std::vector<std::string> ids;
  for (const auto& [id, slot] : by_id_) ids.push_back(id);
  return ids;
}

std::vector<Engine::Stream> Engine::streams(const ResponseSink& front) {
  std::vector<Stream> all;
  for (const SlotId id : requests_.ids()) {
    const InFlightRequest& flight = *requests_.find(id);
    if (flight.front != &front || !flight.streaming || flight.answered || flight.paused) continue;
    const auto number = static_cast<std::size_t>(*flight.streaming);
    all.push_back({id, flight.client, *flight.streaming, flight.id, flight.attempts[number].endpoint});
  }
  return all;
}

void Engine::give_away(SlotId id) {
  InFlightRequest* flight = requests_.find(id);
  if (flight == nullptr || !flight->streaming) return;
  answered(*flight);
  Attempt& attempt = flight->attempts[static_cast<std::size_t>(*flight->streaming)];
  attempt.out = false;
  feed(ClientGone{flight->id});  // so that the end of its attempt tells nothing of the host
  feed(AttemptCompleted{flight->id,
                        attempt.endpoint,
                        *flight->streaming,
                        AttemptStatus::kCancelled,
                        clock_() - attempt.sent,
                        true,
                        0,
                        {}});
  settle(id);
}

// The router is not told: it has nothing to decide for a stream that runs.
SlotId Engine::adopt(ResponseSink& front, SlotId client, const std::string& id, const std::string& endpoint) {
  const SlotId slot = requests_.emplace();
  InFlightRequest& flight = *requests_.find(slot);
  flight.front = &front;
  flight.client = client;
  flight.id = id;
  flight.rules = rules_;
  flight.streaming = 0;
  flight.attempts.push_back({endpoint, clock_(), true, false, {}});
  by_id_[id] = slot;
  ++unanswered_;
  watch_silence(slot);
  return slot;
}

void Engine::request_elsewhere(const std::string& id, bool open) {
  open ? void(elsewhere_.insert(id)) : void(elsewhere_.erase(id));
}

// ---- upstream ----

Engine::Attempt* Engine::find_out(AttemptId attempt, InFlightRequest** flight) {
  *flight = requests_.find(attempt.request);
  if (*flight == nullptr || attempt.number >= static_cast<int>((*flight)->attempts.size())) return nullptr;
  Attempt& found = (*flight)->attempts[static_cast<std::size_t>(attempt.number)];
  return found.out ? &found : nullptr;
}

void Engine::events(AttemptId attempt, std::string_view whole_events) {
  InFlightRequest* flight = nullptr;
  Attempt* found = find_out(attempt, &flight);
  if (found == nullptr) return;
  if (!flight->streaming) {
    if (flight->answered) return give_up_attempt(attempt.request, attempt.number, AttemptStatus::kCancelled);
    flight->streaming = attempt.number;
    flight->held.first_token();
    flight->message.reset();
    timers_.drop(found->limit);
    timers_.drop(flight->overdue);
    const SlotId client = flight->client;
    ResponseSink* front = flight->front;
    if (observer_ != nullptr) observer_->first_token(flight->request_class, clock_() > flight->aim);
    request_log_.first(flight->id, found->endpoint, attempt.number, clock_() - found->sent);
    feed(FirstToken{flight->id, found->endpoint, attempt.number, clock_() - found->sent});
    front->begin(client);
    if ((flight = requests_.find(attempt.request)) == nullptr) return;
  }
  if (flight->streaming != attempt.number || flight->answered) return;
  watch_silence(attempt.request);
  if (!flight->front->pass(flight->client, whole_events) &&
      (flight = requests_.find(attempt.request)) != nullptr) {
    flight->paused = true;
    timers_.drop(flight->silence);  // it is the client that keeps silent now
    upstream_.pause(attempt);
  }
}

void Engine::watch_silence(SlotId id) {
  InFlightRequest& flight = *requests_.find(id);
  timers_.drop(flight.silence);
  flight.silence = timers_.add(clock_() + kSilence, [this, id] {
    InFlightRequest* silent = requests_.find(id);
    if (silent == nullptr || !silent->streaming || silent->answered) return;
    log_("stream " + silent->id + " silent: cut");
    give_up_attempt(id, *silent->streaming, AttemptStatus::kTimeout);
  });
}

void Engine::ended(AttemptId attempt, const AttemptResult& ending) {
  InFlightRequest* flight = nullptr;
  // Nobody wanted it any more: its client has gone, which the front is about to tell.
  const bool unwanted = ending.status == AttemptStatus::kNeverSent && !ending.unusable;
  if (unwanted && find_out(attempt, &flight) != nullptr) client_gone(attempt.request);
  if (find_out(attempt, &flight) != nullptr) close(attempt.request, attempt.number, ending);
}

bool Engine::wanted(AttemptId attempt) {
  InFlightRequest* flight = nullptr;
  if (find_out(attempt, &flight) == nullptr) return false;
  return !flight->answered && flight->front->present(flight->client);
}

void Engine::released(const std::string& id) {
  if (InFlightRequest* flight = requests_.find(find(id))) flight->held.release_answered();
}

void Engine::hold_answer(AttemptId attempt, const std::string& endpoint, bool held) {
  InFlightRequest* flight = nullptr;
  if (find_out(attempt, &flight) != nullptr) feed(ReservationResult{flight->id, endpoint, held});
}

// Ends an attempt from this side: a time-out, a cancel, or a stream that nobody reads or feeds.
void Engine::give_up_attempt(SlotId id, int number, AttemptStatus status) {
  InFlightRequest* flight = nullptr;
  if (find_out({id, number}, &flight) == nullptr) return;
  const bool made = upstream_.under_way({id, number}), delivered = upstream_.abandon({id, number});
  if (!delivered && status == AttemptStatus::kTimeout) status = AttemptStatus::kConnectFailed;
  if (!delivered && status == AttemptStatus::kCancelled && flight->answered)
    status = AttemptStatus::kNeverSent;
  close(id, number, {status, made && status == AttemptStatus::kConnectFailed ? 1 : 0, {}});
}

// The one place where an attempt ends.
void Engine::close(SlotId id, int number, const AttemptResult& ending) {
  InFlightRequest& flight = *requests_.find(id);
  Attempt& attempt = flight.attempts[static_cast<std::size_t>(number)];
  attempt.out = false;
  const Time limit = attempt.limit.first;
  timers_.drop(attempt.limit);
  AttemptStatus status = ending.status;
  if (flight.streaming == number && !flight.answered) {
    answered(flight);
    if (status == AttemptStatus::kServed) {
      flight.front->finish(flight.client);
    } else {
      log_("stream " + flight.id + " broke at host " + attempt.endpoint);
      flight.front->cut(flight.client);
    }
  } else if (status == AttemptStatus::kServed && flight.streaming != number) {
    status = AttemptStatus::kError;  // a stream without one event: nothing to pass on, yet it may have run
  }
  flight.timed_out = status == AttemptStatus::kTimeout;
  if (status == AttemptStatus::kConnectFailed && number < flight.rules->free_connect_failures) --flight.spent;
  const Time runs_until = limit + flight.rules->reservation_limit / kStrayPart;
  const bool left = flight.held.attempt_ended({status, ending.note, attempt.reads, runs_until}, clock_());
  if (ending.unusable && !flight.answered) {
    answered(flight);
    flight.front->fail(flight.client, Failure::kInvalidRequest);
  }
  AttemptCompleted outcome{flight.id,       attempt.endpoint, number,       status, clock_() - attempt.sent,
                           flight.answered, ending.note,      ending.report};
  request_log_.ended(outcome);
  if (flight.held.may_hold() && !any_under_way(id)) stray(id, left);
  feed(std::move(outcome));
  settle(id);
}

bool Engine::any_under_way(SlotId id) {
  const InFlightRequest& flight = *requests_.find(id);
  for (int i = 0; i < static_cast<int>(flight.attempts.size()); ++i) {
    if (flight.attempts[static_cast<std::size_t>(i)].out && upstream_.under_way({id, i})) return true;
  }
  return false;
}

// Lets go of what an astray read may have left, unless another attempt is under way by then: it would be
// robbed. Attempts whose connections fail to come up put nothing off. `anew`: something may have been left
// just now.
void Engine::stray(SlotId id, bool anew) {
  InFlightRequest& flight = *requests_.find(id);
  if (!anew && flight.letting_go != TimerQueue::Id{}) return;
  timers_.drop(flight.letting_go);
  flight.letting_go = timers_.add(clock_() + flight.rules->reservation_limit / kStrayPart, [this, id] {
    InFlightRequest* stray = requests_.find(id);
    if (stray == nullptr) return;
    stray->letting_go = {};
    if (stray->held.may_release() && !any_under_way(id))
      upstream_.release(stray->id, stray->held.runs_until());
    settle(id);
  });
}

void Engine::answered(InFlightRequest& flight) {
  flight.answered = true;
  --unanswered_;
  timers_.drop(flight.overdue);
  timers_.drop(flight.silence);
}

void Engine::settle(SlotId id) {
  InFlightRequest* flight = requests_.find(id);
  if (flight == nullptr || !flight->answered || flight->any_out()) return;
  if (flight->letting_go != TimerQueue::Id{}) return;
  if (hot_restart_observer_ != nullptr) hot_restart_observer_->tell_request(flight->id, false);
  by_id_.erase(flight->id);
  requests_.erase(id);
}

// ---- the router ----

// Events that come up while the router's actions are carried out wait their turn.
void Engine::feed(Event event) {
  queue_.push_back(std::move(event));
  if (feeding_) return;
  feeding_ = true;
  while (!queue_.empty()) {
    const Event next = std::move(queue_.front());
    queue_.pop_front();
    for (const Action& action : router_.handle(clock_(), next)) perform(action);
  }
  feeding_ = false;
}

SlotId Engine::find(const std::string& id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? SlotId{} : it->second;
}

void Engine::perform(const Action& action) {
  std::visit(
      [this](const auto& a) {
        using A = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<A, StartAttempt>) {
          do_send(a);
        } else if constexpr (std::is_same_v<A, CancelAttempt>) {
          do_cancel(a);
        } else if constexpr (std::is_same_v<A, ReleaseReservation>) {
          InFlightRequest* flight = requests_.find(find(a.request));
          if (flight != nullptr) flight->held.router_released();
          upstream_.release(a.request, flight == nullptr ? Time{} : flight->held.runs_until());
        } else if constexpr (std::is_same_v<A, ReserveSlot>) {
          const SlotId id = find(a.request);
          const InFlightRequest* flight = requests_.find(id);
          if (flight != nullptr && !flight->answered && !flight->attempts.empty())
            upstream_.hold({id, static_cast<int>(flight->attempts.size()) - 1}, a.endpoint, a.request);
        } else if constexpr (std::is_same_v<A, SetTimer>) {
          timers_.add(clock_() + a.after, [this, tag = a.tag] { feed(TimerExpired{tag}); });
        } else if constexpr (std::is_same_v<A, Subscribe>) {
          if (subscribe_) subscribe_();
        } else if constexpr (std::is_same_v<A, routing::LogMessage>) {
          log_(a.text);
        } else {  // Refuse, Fail, Move: the request's end
          const SlotId id = find(a.request);
          InFlightRequest* flight = requests_.find(id);
          if (flight == nullptr || flight->answered) return;
          answered(*flight);
          request_log_.answered(flight->id, std::is_same_v<A, Reject> ? "refused" : "failed");
          if (observer_ != nullptr && !flight->streaming)
            observer_->given_up(flight->request_class, std::is_same_v<A, Reject>);
          if constexpr (std::is_same_v<A, Reject>) {
            flight->front->reject(flight->client, a.retry_after);
          } else if constexpr (std::is_same_v<A, Fail>) {
            const bool late = flight->timed_out || clock_() >= flight->deadline;
            flight->front->fail(flight->client, late ? Failure::kDeadlineExceeded : Failure::kUpstream);
          } else {
            flight->front->cut(flight->client);
            if (flight->streaming) give_up_attempt(id, *flight->streaming, AttemptStatus::kCancelled);
          }
          settle(id);
        }
      },
      action);
}

void Engine::do_send(const StartAttempt& send) {
  const SlotId id = find(send.request);
  InFlightRequest* flight = requests_.find(id);
  if (flight == nullptr) return;
  const int number = static_cast<int>(flight->attempts.size());
  const Time now = clock_();
  Attempt attempt;
  attempt.endpoint = send.endpoint;
  attempt.sent = now;
  const auto role = roles_.find(send.endpoint);
  attempt.reads = role != roles_.end() && role->second == Role::kReader;
  flight->attempts.push_back(attempt);
  const Time limit = send.deadline == Time{} ? flight->deadline : std::min(send.deadline, flight->deadline);
  if (flight->answered || flight->streaming || flight->spent >= flight->rules->max_attempts || limit <= now) {
    flight->attempts.back().out = false;
    feed(AttemptCompleted{
        send.request, send.endpoint, number, AttemptStatus::kNeverSent, {}, flight->answered, 0, {}});
    return;
  }
  ++flight->spent;
  flight->attempts.back().limit =
      timers_.add(limit, [this, id, number] { give_up_attempt(id, number, AttemptStatus::kTimeout); });
  if (hot_restart_observer_ != nullptr) hot_restart_observer_->tell_sent(send.endpoint);
  request_log_.sent(send.request, send.endpoint, number);
  upstream_.send({id, number}, send.endpoint, flight->message, limit, send.connect_by);
}

void Engine::do_cancel(const CancelAttempt& cancel) {
  const SlotId id = find(cancel.request);
  const InFlightRequest* flight = requests_.find(id);
  if (flight == nullptr || flight->streaming == cancel.attempt) return;
  give_up_attempt(id, cancel.attempt, AttemptStatus::kCancelled);
}

}  // namespace dispatcher::engine
