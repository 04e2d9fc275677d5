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

bool Engine::Flight::any_out() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
}

Engine::Engine(Rules rules, std::uint64_t seed, Upstream& upstream, Deadlines& deadlines, Clock clock,
               Log log)
    : rules_(std::move(rules)),
      upstream_(upstream),
      deadlines_(deadlines),
      clock_(std::move(clock)),
      log_(std::move(log)),
      router_(*rules_, seed) {}

// ---- fronts ----

namespace {
Duration aim_of(const Settings& rules, const Request& request) {
  const auto it = std::find_if(rules.classes.begin(), rules.classes.end(),
                               [&](const RequestClass& c) { return c.name == request.request_class; });
  if (it == rules.classes.end()) return {};
  return it->objective + it->objective_per_1000_tokens * request.prompt_tokens / 1000;
}
}  // namespace

SlotId Engine::submit(Answerer& front, SlotId client, const Request& request,
                      std::shared_ptr<const Message> message) {
  const SlotId id = requests_.emplace();
  Flight& flight = *requests_.find(id);
  flight.front = &front;
  flight.client = client;
  flight.id = request.id;
  flight.rules = rules_;
  flight.message = std::move(message);
  flight.deadline = request.client_deadline;
  flight.request_class = request.request_class;
  flight.aim = clock_() + aim_of(*rules_, request);
  by_id_[request.id] = id;
  if (twin_ != nullptr) twin_->tell_request(request.id, true);
  request_log_.taken(request, clock_());
  ++unanswered_;
  // The router answers by the deadline by itself. Should it ever fail to, the client still gets its answer.
  flight.overdue = deadlines_.add(request.client_deadline + rules_->answer_slack, [this, id] {
    Flight* late = requests_.find(id);
    if (late == nullptr || late->answered) return;
    log_("request " + late->id + " overdue: failed by the core");
    late->front->fail(late->client, Failure::kTooLate);
    answered(*late);
    feed(ClientGone{late->id});
    settle(id);
  });
  feed(request);
  return id;
}

void Engine::client_gone(SlotId id) {
  Flight* flight = requests_.find(id);
  if (flight == nullptr || flight->answered) return;
  answered(*flight);
  const auto streaming = flight->streaming;
  const std::string name = flight->id;
  request_log_.answered(name, "client-gone");
  give_up_unwritten(id);
  feed(ClientGone{name});
  // The router leaves a running stream alone; nobody reads it any more, so its work must stop here.
  if (streaming) give_up_attempt(id, *streaming, Verdict::kCancelled);
  if ((flight = requests_.find(id)) != nullptr && flight->held.may_hold() && !any_under_way(id))
    stray(id, false);
  settle(id);
}

// What still waits for a connection would be written after its client has gone: it ends here, also where the
// router may cancel nothing.
void Engine::give_up_unwritten(SlotId id) {
  for (int i = 0; const Flight* flight = requests_.find(id); ++i) {
    if (i >= static_cast<int>(flight->attempts.size())) return;
    const bool out = flight->attempts[static_cast<std::size_t>(i)].out;
    if (out && flight->streaming != i && !upstream_.under_way({id, i}))
      give_up_attempt(id, i, Verdict::kNeverSent);
  }
}

void Engine::resume(SlotId id) {
  Flight* flight = requests_.find(id);
  if (flight == nullptr || !flight->paused || !flight->streaming) return;
  flight->paused = false;
  watch_silence(id);
  upstream_.resume({id, *flight->streaming});
}

bool Engine::waits(SlotId id) {
  const Flight* flight = requests_.find(id);
  return flight != nullptr && !flight->answered;
}

void Engine::adopt(Rules rules) {
  rules_ = std::move(rules);
  feed(NewSettings{rules_});
}

// ---- discovery ----

void Engine::hosts(const HostList& list) {
  if (list.kind != ListKind::kDelta) {
    for (const auto& [host, role] : std::exchange(roles_, {})) depart(host);
  }
  for (const HostEntry& entry : list.entries) {
    if (entry.state == HostState::kGone) {
      if (roles_.erase(entry.host) > 0) depart(entry.host);
      continue;
    }
    for (const HostKind& kind : rules_->kinds) {
      if (kind.name == entry.kind) roles_[entry.host] = kind.role;
    }
  }
  feed(list);
}

void Engine::depart(const std::string& host) {
  std::erase(departed_, host);
  departed_.push_back(host);
  if (departed_.size() > kDepartedKept) departed_.pop_front();
}

bool Engine::knows(const std::string& host) const {
  return roles_.contains(host) || std::find(departed_.begin(), departed_.end(), host) != departed_.end();
}

// ---- the other process ----

std::vector<std::string> Engine::open_ids() const {
  std::vector<std::string> ids;
  for (const auto& [id, slot] : by_id_) ids.push_back(id);
  return ids;
}

std::vector<Engine::Stream> Engine::streams(const Answerer& front) {
  std::vector<Stream> all;
  for (const SlotId id : requests_.ids()) {
    const Flight& flight = *requests_.find(id);
    if (flight.front != &front || !flight.streaming || flight.answered || flight.paused) continue;
    const auto number = static_cast<std::size_t>(*flight.streaming);
    all.push_back({id, flight.client, *flight.streaming, flight.id, flight.attempts[number].host});
  }
  return all;
}

void Engine::give_away(SlotId id) {
  Flight* flight = requests_.find(id);
  if (flight == nullptr || !flight->streaming) return;
  answered(*flight);
  Attempt& attempt = flight->attempts[static_cast<std::size_t>(*flight->streaming)];
  attempt.out = false;
  feed(ClientGone{flight->id});  // so that the end of its attempt tells nothing of the host
  feed(Outcome{flight->id,
               attempt.host,
               *flight->streaming,
               Verdict::kCancelled,
               clock_() - attempt.sent,
               true,
               0,
               {}});
  settle(id);
}

// The router is not told: it has nothing to decide for a stream that runs.
SlotId Engine::adopt(Answerer& front, SlotId client, const std::string& id, const std::string& host) {
  const SlotId slot = requests_.emplace();
  Flight& flight = *requests_.find(slot);
  flight.front = &front;
  flight.client = client;
  flight.id = id;
  flight.rules = rules_;
  flight.streaming = 0;
  flight.attempts.push_back({host, clock_(), true, false, {}});
  by_id_[id] = slot;
  ++unanswered_;
  watch_silence(slot);
  return slot;
}

void Engine::request_elsewhere(const std::string& id, bool open) {
  open ? void(elsewhere_.insert(id)) : void(elsewhere_.erase(id));
}

// ---- upstream ----

Engine::Attempt* Engine::find_out(AttemptId attempt, Flight** flight) {
  *flight = requests_.find(attempt.request);
  if (*flight == nullptr || attempt.number >= static_cast<int>((*flight)->attempts.size())) return nullptr;
  Attempt& found = (*flight)->attempts[static_cast<std::size_t>(attempt.number)];
  return found.out ? &found : nullptr;
}

void Engine::events(AttemptId attempt, std::string_view whole_events) {
  Flight* flight = nullptr;
  Attempt* found = find_out(attempt, &flight);
  if (found == nullptr) return;
  if (!flight->streaming) {
    if (flight->answered) return give_up_attempt(attempt.request, attempt.number, Verdict::kCancelled);
    flight->streaming = attempt.number;
    flight->held.first_token();
    flight->message.reset();
    deadlines_.drop(found->limit);
    deadlines_.drop(flight->overdue);
    const SlotId client = flight->client;
    Answerer* front = flight->front;
    if (witness_ != nullptr) witness_->first_token(flight->request_class, clock_() > flight->aim);
    request_log_.first(flight->id, found->host, attempt.number, clock_() - found->sent);
    feed(FirstToken{flight->id, found->host, attempt.number, clock_() - found->sent});
    front->begin(client);
    if ((flight = requests_.find(attempt.request)) == nullptr) return;
  }
  if (flight->streaming != attempt.number || flight->answered) return;
  watch_silence(attempt.request);
  if (!flight->front->pass(flight->client, whole_events) &&
      (flight = requests_.find(attempt.request)) != nullptr) {
    flight->paused = true;
    deadlines_.drop(flight->silence);  // it is the client that keeps silent now
    upstream_.pause(attempt);
  }
}

void Engine::watch_silence(SlotId id) {
  Flight& flight = *requests_.find(id);
  deadlines_.drop(flight.silence);
  flight.silence = deadlines_.add(clock_() + kSilence, [this, id] {
    Flight* silent = requests_.find(id);
    if (silent == nullptr || !silent->streaming || silent->answered) return;
    log_("stream " + silent->id + " silent: cut");
    give_up_attempt(id, *silent->streaming, Verdict::kTimeout);
  });
}

void Engine::ended(AttemptId attempt, const Ending& ending) {
  Flight* flight = nullptr;
  // Nobody wanted it any more: its client has gone, which the front is about to tell.
  const bool unwanted = ending.verdict == Verdict::kNeverSent && !ending.unusable;
  if (unwanted && find_out(attempt, &flight) != nullptr) client_gone(attempt.request);
  if (find_out(attempt, &flight) != nullptr) close(attempt.request, attempt.number, ending);
}

bool Engine::wanted(AttemptId attempt) {
  Flight* flight = nullptr;
  if (find_out(attempt, &flight) == nullptr) return false;
  return !flight->answered && flight->front->present(flight->client);
}

void Engine::released(const std::string& id) {
  if (Flight* flight = requests_.find(find(id))) flight->held.release_answered();
}

void Engine::hold_answer(AttemptId attempt, const std::string& host, bool held) {
  Flight* flight = nullptr;
  if (find_out(attempt, &flight) != nullptr) feed(HoldAnswer{flight->id, host, held});
}

// Ends an attempt from this side: a time-out, a cancel, or a stream that nobody reads or feeds.
void Engine::give_up_attempt(SlotId id, int number, Verdict verdict) {
  Flight* flight = nullptr;
  if (find_out({id, number}, &flight) == nullptr) return;
  const bool made = upstream_.under_way({id, number}), delivered = upstream_.abandon({id, number});
  if (!delivered && verdict == Verdict::kTimeout) verdict = Verdict::kConnectFailed;
  if (!delivered && verdict == Verdict::kCancelled && flight->answered) verdict = Verdict::kNeverSent;
  close(id, number, {verdict, made && verdict == Verdict::kConnectFailed ? 1 : 0, {}});
}

// The one place where an attempt ends.
void Engine::close(SlotId id, int number, const Ending& ending) {
  Flight& flight = *requests_.find(id);
  Attempt& attempt = flight.attempts[static_cast<std::size_t>(number)];
  attempt.out = false;
  const Time limit = attempt.limit.first;
  deadlines_.drop(attempt.limit);
  Verdict verdict = ending.verdict;
  if (flight.streaming == number && !flight.answered) {
    answered(flight);
    if (verdict == Verdict::kServed) {
      flight.front->finish(flight.client);
    } else {
      log_("stream " + flight.id + " broke at host " + attempt.host);
      flight.front->cut(flight.client);
    }
  } else if (verdict == Verdict::kServed && flight.streaming != number) {
    verdict = Verdict::kError;  // a stream without one event: nothing to pass on, yet it may have run
  }
  flight.timed_out = verdict == Verdict::kTimeout;
  if (verdict == Verdict::kConnectFailed && number < flight.rules->free_connects) --flight.spent;
  const Time runs_until = limit + flight.rules->pin_limit / kStrayPart;
  const bool left = flight.held.attempt_ended({verdict, ending.note, attempt.reads, runs_until}, clock_());
  if (ending.unusable && !flight.answered) {
    answered(flight);
    flight.front->fail(flight.client, Failure::kUnusable);
  }
  Outcome outcome{flight.id,       attempt.host, number,       verdict, clock_() - attempt.sent,
                  flight.answered, ending.note,  ending.report};
  request_log_.ended(outcome);
  if (flight.held.may_hold() && !any_under_way(id)) stray(id, left);
  feed(std::move(outcome));
  settle(id);
}

bool Engine::any_under_way(SlotId id) {
  const Flight& flight = *requests_.find(id);
  for (int i = 0; i < static_cast<int>(flight.attempts.size()); ++i) {
    if (flight.attempts[static_cast<std::size_t>(i)].out && upstream_.under_way({id, i})) return true;
  }
  return false;
}

// Lets go of what an astray read may have left, unless another attempt is under way by then: it would be
// robbed. Attempts whose connections fail to come up put nothing off. `anew`: something may have been left
// just now.
void Engine::stray(SlotId id, bool anew) {
  Flight& flight = *requests_.find(id);
  if (!anew && flight.letting_go != Deadlines::Id{}) return;
  deadlines_.drop(flight.letting_go);
  flight.letting_go = deadlines_.add(clock_() + flight.rules->pin_limit / kStrayPart, [this, id] {
    Flight* stray = requests_.find(id);
    if (stray == nullptr) return;
    stray->letting_go = {};
    if (stray->held.may_release() && !any_under_way(id))
      upstream_.release(stray->id, stray->held.runs_until());
    settle(id);
  });
}

void Engine::answered(Flight& flight) {
  flight.answered = true;
  --unanswered_;
  deadlines_.drop(flight.overdue);
  deadlines_.drop(flight.silence);
}

void Engine::settle(SlotId id) {
  Flight* flight = requests_.find(id);
  if (flight == nullptr || !flight->answered || flight->any_out()) return;
  if (flight->letting_go != Deadlines::Id{}) return;
  if (twin_ != nullptr) twin_->tell_request(flight->id, false);
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
        if constexpr (std::is_same_v<A, Send>) {
          do_send(a);
        } else if constexpr (std::is_same_v<A, Cancel>) {
          do_cancel(a);
        } else if constexpr (std::is_same_v<A, Release>) {
          Flight* flight = requests_.find(find(a.request));
          if (flight != nullptr) flight->held.router_released();
          upstream_.release(a.request, flight == nullptr ? Time{} : flight->held.runs_until());
        } else if constexpr (std::is_same_v<A, Hold>) {
          const SlotId id = find(a.request);
          const Flight* flight = requests_.find(id);
          if (flight != nullptr && !flight->answered && !flight->attempts.empty())
            upstream_.hold({id, static_cast<int>(flight->attempts.size()) - 1}, a.host, a.request);
        } else if constexpr (std::is_same_v<A, SetTimer>) {
          deadlines_.add(clock_() + a.after, [this, tag = a.tag] { feed(Timer{tag}); });
        } else if constexpr (std::is_same_v<A, Subscribe>) {
          if (subscribe_) subscribe_();
        } else if constexpr (std::is_same_v<A, routing::Log>) {
          log_(a.text);
        } else {  // Refuse, Fail, Move: the request's end
          const SlotId id = find(a.request);
          Flight* flight = requests_.find(id);
          if (flight == nullptr || flight->answered) return;
          answered(*flight);
          request_log_.answered(flight->id, std::is_same_v<A, Refuse> ? "refused" : "failed");
          if (witness_ != nullptr && !flight->streaming)
            witness_->given_up(flight->request_class, std::is_same_v<A, Refuse>);
          if constexpr (std::is_same_v<A, Refuse>) {
            flight->front->refuse(flight->client, a.retry_in);
          } else if constexpr (std::is_same_v<A, Fail>) {
            const bool late = flight->timed_out || clock_() >= flight->deadline;
            flight->front->fail(flight->client, late ? Failure::kTooLate : Failure::kUpstream);
          } else {
            flight->front->cut(flight->client);
            if (flight->streaming) give_up_attempt(id, *flight->streaming, Verdict::kCancelled);
          }
          settle(id);
        }
      },
      action);
}

void Engine::do_send(const Send& send) {
  const SlotId id = find(send.request);
  Flight* flight = requests_.find(id);
  if (flight == nullptr) return;
  const int number = static_cast<int>(flight->attempts.size());
  const Time now = clock_();
  Attempt attempt;
  attempt.host = send.host;
  attempt.sent = now;
  const auto role = roles_.find(send.host);
  attempt.reads = role != roles_.end() && role->second == Role::kReader;
  flight->attempts.push_back(attempt);
  const Time limit = send.not_past == Time{} ? flight->deadline : std::min(send.not_past, flight->deadline);
  if (flight->answered || flight->streaming || flight->spent >= flight->rules->max_attempts || limit <= now) {
    flight->attempts.back().out = false;
    feed(Outcome{send.request, send.host, number, Verdict::kNeverSent, {}, flight->answered, 0, {}});
    return;
  }
  ++flight->spent;
  flight->attempts.back().limit =
      deadlines_.add(limit, [this, id, number] { give_up_attempt(id, number, Verdict::kTimeout); });
  if (twin_ != nullptr) twin_->tell_sent(send.host);
  request_log_.sent(send.request, send.host, number);
  upstream_.send({id, number}, send.host, flight->message, limit, send.connect_by);
}

void Engine::do_cancel(const Cancel& cancel) {
  const SlotId id = find(cancel.request);
  const Flight* flight = requests_.find(id);
  if (flight == nullptr || flight->streaming == cancel.attempt) return;
  give_up_attempt(id, cancel.attempt, Verdict::kCancelled);
}

}  // namespace dispatcher::engine
