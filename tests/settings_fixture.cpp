#include "settings_fixture.hpp"

#include <algorithm>
#include <limits>
#include <sstream>
#include <type_traits>

namespace dispatcher::routing::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char* name_of(AttemptStatus v) {
  static const char* const names[] = {"served", "error",     "full",       "timeout", "connect failed",
                                      "reset",  "cancelled", "never sent", "read"};
  return names[static_cast<std::size_t>(v)];
}

std::string ms(Duration t) {
  std::ostringstream out;
  out.precision(12);
  out << static_cast<double>(t.count()) / 1000 << " ms";
  return out.str();
}

std::string told(const EndpointInfo& e) {
  static const char* const states[] = {"gone", "draining", "ready"};
  std::ostringstream out;
  out << e.endpoint << "(" << e.kind << ", " << e.zone << "/" << e.cell << ", "
      << states[static_cast<std::size_t>(e.state)];
  if (e.started != Time{}) out << ", started " << ms(e.started);
  return out.str() + ")";
}

std::string told(const Event& event) {
  return std::visit(
      [](const auto& e) -> std::string {
        using E = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<E, EndpointList>) {
          static const char* const kinds[] = {"full", "failed", "cached", "delta"};
          std::string all = std::string("list ") + kinds[static_cast<std::size_t>(e.kind)];
          for (const EndpointInfo& entry : e.entries) all += " " + told(entry);
          return all;
        } else if constexpr (std::is_same_v<E, Request>) {
          return "request " + e.id.value() + " class " + e.request_class + " tokens " +
                 std::to_string(e.prompt_tokens) + " deadline " + ms(e.client_deadline);
        } else if constexpr (std::is_same_v<E, AttemptCompleted>) {
          return "outcome " + e.request.value() + " attempt " + std::to_string(e.attempt) + " at " +
                 e.endpoint.value() + ": " + name_of(e.status) + (e.finished ? ", finished" : "") +
                 (e.cached_prompt_tokens != 0 ? ", cached " + std::to_string(e.cached_prompt_tokens) : "") +
                 (e.evidence != AttemptEvidence::kNone ? ", with evidence" : "");
        } else if constexpr (std::is_same_v<E, FirstToken>) {
          return "first token " + e.request.value() + " attempt " + std::to_string(e.attempt) + " at " +
                 e.endpoint.value();
        } else if constexpr (std::is_same_v<E, ReservationResult>) {
          return "hold " + e.request.value() + (e.held ? " held" : " not held");
        } else if constexpr (std::is_same_v<E, ClientGone>) {
          return "client gone " + e.request.value();
        } else if constexpr (std::is_same_v<E, TimerExpired>) {
          return "timer " + std::to_string(e.tag);
        } else if constexpr (std::is_same_v<E, AdministrativeDrain>) {
          return "maintenance " + e.endpoint.value() + (e.offline ? " offline" : " online");
        } else if constexpr (std::is_same_v<E, LearnedState>) {
          return "knowledge";
        } else if constexpr (std::is_same_v<E, PeerForwarded>) {
          return "sent elsewhere to " + e.endpoint.value();
        } else {
          return "new settings";
        }
      },
      event);
}

std::string told(const Action& action) {
  return std::visit(
      [](const auto& a) -> std::string {
        using A = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<A, StartAttempt>) {
          return "send " + a.request.value() + " to " + a.endpoint.value() + " not past " + ms(a.deadline);
        } else if constexpr (std::is_same_v<A, CancelAttempt>) {
          return "cancel " + a.request.value() + " attempt " + std::to_string(a.attempt);
        } else if constexpr (std::is_same_v<A, Reject>) {
          return "refuse " + a.request.value() + (a.retry_after ? " retry in " + ms(*a.retry_after) : "");
        } else if constexpr (std::is_same_v<A, Fail>) {
          return "fail " + a.request.value();
        } else if constexpr (std::is_same_v<A, MigrateStream>) {
          return "move " + a.request.value();
        } else if constexpr (std::is_same_v<A, ReserveSlot>) {
          return "hold " + a.request.value() + " at " + a.endpoint.value();
        } else if constexpr (std::is_same_v<A, ReleaseReservation>) {
          return "release " + a.request.value();
        } else if constexpr (std::is_same_v<A, SetTimer>) {
          return "timer " + std::to_string(a.tag) + " after " + ms(a.after);
        } else if constexpr (std::is_same_v<A, Subscribe>) {
          return "subscribe";
        } else {
          return "log " + a.text;
        }
      },
      action);
}

bool proves_it_never_ran(AttemptStatus v) {
  return v == AttemptStatus::kFull || v == AttemptStatus::kConnectFailed || v == AttemptStatus::kNeverSent ||
         v == AttemptStatus::kRead;
}

}  // namespace

Fixture::Fixture(std::vector<Settings> settings, std::vector<EndpointInfo> endpoints, std::uint64_t seed)
    : settings_([&] {
        std::vector<std::shared_ptr<const Settings>> all;
        for (Settings& s : settings) all.push_back(std::make_shared<const Settings>(std::move(s)));
        return all;
      }()),
      router_(*settings_[0], seed),
      hot_restart_observer_(*settings_[0], seed),
      tick_(std::max<Duration>(settings_[0]->tick, milliseconds(1))),
      first_(std::move(endpoints)) {}

void Fixture::start() { send_list(ListKind::kCached, first_); }

void Fixture::note(const std::string& line) { transcript_.push_back(ms(now_) + "  " + line); }

void Fixture::check(bool holds, const std::string& rule) const {
  if (!holds) throw Broken(rule);
}

void Fixture::pass(const Event& event) {
  if (watcher_) {
    const std::vector<Action> actions = router_.handle(now_, event);
    watcher_(now_, event, actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { carry_out(a); }, action);
    return;
  }
  note(told(event));
  const std::vector<Action> actions = router_.handle(now_, event),
                            same = hot_restart_observer_.handle(now_, event);
  check(actions.size() == same.size(), "the same events made other actions");
  for (std::size_t i = 0; i < actions.size(); ++i) {
    note("    " + told(actions[i]));
    check(told(actions[i]) == told(same[i]), "the same events made other actions");
  }
  for (const Action& action : actions) std::visit([this](const auto& a) { carry_out(a); }, action);
}

int Fixture::out(const Open& q) {
  return static_cast<int>(
      std::count_if(q.attempts.begin(), q.attempts.end(), [](const Attempt& a) { return a.out; }));
}

// ---- what the router does ----

Fixture::Open& Fixture::owed(const RequestId& id, const char* what) {
  const auto it = requests_.find(id);
  check(it != requests_.end(), std::string(what) + " of a request that never came");
  return it->second;
}

// For an unsafe class any earlier attempt must be proven never to have run. For a keyed one, what goes on
// after one that may have run, or is out, goes where it is known again, while it is remembered.
void Fixture::check_effect(const Open& q, const Known& to, const StartAttempt& send) const {
  for (const Attempt& a : q.attempts) {
    if (a.reading || !(a.out || a.may_have_run)) continue;
    check(q.cls.idempotency != Idempotency::kNonIdempotent,
          "unsafe: sent after an attempt that may have run");
    if (q.cls.idempotency != Idempotency::kKeyed) continue;  // a further read counts as well
    check(now_ - a.sent <= q.cls.deduplication_window,
          "keyed: sent after the window of an attempt that may have run");
    check(send.connect_by != Time{} && send.connect_by <= a.sent + q.cls.deduplication_window,
          "keyed: may wait for a connection past the window of an attempt that may have run");
    const EndpointInfo& ran = endpoints_.at(a.endpoint).entry;
    const bool zone = ran.zone == to.entry.zone;
    check(q.cls.deduplication_scope == DeduplicationScope::kAll || zone, "keyed: sent outside the group");
    check(q.cls.deduplication_scope != DeduplicationScope::kCell || ran.cell == to.entry.cell,
          "keyed: sent outside the group");
  }
}

void Fixture::carry_out(const StartAttempt& send) {
  Open& q = owed(send.request, "a send");
  check(!q.answered, "sent after the end");
  check(!q.begun, "sent after the first token");
  check(!q.gone, "sent after its client was gone");
  check(out(q) == 0 || q.rules->may_hedge, "two attempts out where duplicates are barred");
  const auto it = endpoints_.find(send.endpoint);
  check(it != endpoints_.end(), "sent to a host that no list named");
  const Known& to = it->second;
  check(!to.offline, "sent to a host that is offline");
  check(!to.told_off || now_ <= *to.told_off + settings_[current_]->drain_grace,
        "sent to a draining or gone host after the grace");
  const auto free =
      std::count_if(q.attempts.begin(), q.attempts.end(), [](const Attempt& a) { return a.free; });
  check(static_cast<int>(q.attempts.size()) - free < q.rules->max_attempts, "more attempts than allowed");
  check_effect(q, to, send);
  Attempt a;
  a.endpoint = send.endpoint;
  a.reading = to.role == Role::kReader;
  a.needs_state = to.role == Role::kWriter && !settings_[current_]->writers_can_prefill;
  a.sent = now_;
  a.connect_by = send.connect_by;
  check(!q.held_at || !q.rules->reservation_expires_while_connecting ||
            (a.connect_by != Time{} && a.connect_by <= q.idle_since + q.rules->reservation_limit),
        "a held state may wait past the pin limit for a connection");
  a.deadline = send.deadline == Time{} ? q.r.client_deadline : std::min(send.deadline, q.r.client_deadline);
  q.attempts.push_back(a);
}

void Fixture::carry_out(const CancelAttempt& cancel) {
  check(settings_[current_]->may_cancel, "cancelled where that is not allowed");
  Open& q = owed(cancel.request, "a cancel");
  check(cancel.attempt >= 0 && cancel.attempt < static_cast<int>(q.attempts.size()),
        "cancelled an attempt that was never made");
  Attempt& a = q.attempts[static_cast<std::size_t>(cancel.attempt)];
  if (a.out && !a.begun && a.cancelled == Time{}) a.cancelled = now_ + tick_;
}

bool Fixture::proven_harmless(const Open& q) const {
  if (q.cls.idempotency == Idempotency::kIdempotent) return true;
  if (q.cls.idempotency == Idempotency::kKeyed && q.cls.deduplication_scope == DeduplicationScope::kAll)
    return true;
  return std::none_of(q.attempts.begin(), q.attempts.end(),
                      [](const Attempt& a) { return !a.reading && (a.out || a.may_have_run); });
}

void Fixture::check_answer(Open& q, const char* what) {
  check(!q.answered, std::string(what) + ": a second final answer");
  check(!q.begun, std::string(what) + " after the first token");
  check(!q.gone, std::string(what) + " after its client was gone");
  check(now_ <= q.r.client_deadline + q.rules->answer_slack, std::string(what) + " after deadline and slack");
  q.answered = true;
}

void Fixture::carry_out(const Reject& reject) {
  Open& q = owed(reject.request, "a refusal");
  check_answer(q, "refused");
  check(proven_harmless(q), "refused what may have run");
  if (!reject.retry_after) return;
  check(q.rules->retry_advice, "advice where none may be given");
  check(*reject.retry_after >= Duration(0) && *reject.retry_after <= q.rules->max_retry_after,
        "advice out of bounds");
}

void Fixture::carry_out(const Fail& fail) { check_answer(owed(fail.request, "a failure"), "failed"); }

void Fixture::carry_out(const MigrateStream& move) {
  Open& q = owed(move.request, "a move");
  check(settings_[current_]->may_migrate_streams, "moved where streams do not resume");
  check(q.begun && !q.answered && !q.gone, "moved what is no running stream");
  q.answered = true;
  for (Attempt& a : q.attempts) {
    if (a.out) a.cancelled = now_ + tick_;
  }
}

void Fixture::carry_out(const ReserveSlot& hold) {
  owed(hold.request, "a hold");
  check(settings_[current_]->may_reserve_slots, "held where that is not allowed");
  check(endpoints_.contains(hold.endpoint), "held at a host that no list named");
}

void Fixture::carry_out(const ReleaseReservation& release) {
  Open& q = owed(release.request, "a release");
  const bool awaited =
      std::any_of(q.attempts.begin(), q.attempts.end(), [](const Attempt& a) { return a.out && !a.reading; });
  if (!awaited) q.held_at.reset();
}

void Fixture::carry_out(const SetTimer& timer) {
  check(timer.after >= Duration(0) && timer.after <= std::chrono::minutes(71), "a timer out of bounds");
  timers_.emplace(round_up(now_ + std::max(timer.after, tick_)), timer.tag);
}

void Fixture::carry_out(const Subscribe&) {
  check(settings_[current_]->polls_endpoint_list, "asked for a list that comes by itself");
}

// ---- what happens ----

void Fixture::play(const Step& step) {
  const int kind = step.kind % 100;
  if (kind < 22) return ask(step);
  if (kind < 52) return progress(step);
  if (kind < 64) return fail_attempt(step);
  if (kind < 68) return leave(step);
  if (kind < 90) {
    static const Duration times[] = {Duration(0),       milliseconds(1),   milliseconds(20),
                                     milliseconds(60),  milliseconds(200), milliseconds(700),
                                     milliseconds(3000)};
    return let_pass(times[static_cast<std::size_t>(step.how) % 7] + Duration(step.much * 100));
  }
  if (kind < 95) return list(step);
  if (kind < 97) {
    auto at = endpoints_.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(static_cast<std::size_t>(step.which) % endpoints_.size()));
    at->second.offline = step.how % 2 == 0;
    return pass(AdministrativeDrain{at->first, at->second.offline});
  }
  if (kind < 98) return change_settings(step);
  if (kind < 99) {
    if (step.how % 2 == 0) return pass(router_.learned_state());
    auto at = endpoints_.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(static_cast<std::size_t>(step.which) % endpoints_.size()));
    return pass(PeerForwarded{at->first});
  }
  if (!requests_.empty()) {  // an answer to a place that was perhaps never asked for
    auto at = requests_.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(static_cast<std::size_t>(step.which) % requests_.size()));
    pass(ReservationResult{at->first, endpoints_.begin()->first, step.how % 2 == 0});
  }
}

void Fixture::ask(const Step& step) {
  const auto& rules = settings_[current_];
  const std::size_t cls = static_cast<std::size_t>(step.which) % rules->classes.size();
  Open q;
  q.rules = rules;
  q.cls = rules->classes[cls];
  q.idle_since = now_;
  q.r.id = "q" + std::to_string(asked_++);
  q.r.request_class = q.cls.name;
  if (!rules->tenants.empty())
    q.r.tenant = rules->tenants[static_cast<std::size_t>(step.how) % rules->tenants.size()].name;
  q.r.session = static_cast<std::uint64_t>(step.how % 50);
  q.r.shared_prefix = static_cast<std::uint64_t>(step.much % 7);
  q.r.prompt_tokens = step.much > 995 ? std::numeric_limits<int>::max() : step.much * step.much / 30;
  q.r.prefix_tokens = q.r.shared_prefix == 0 ? 0 : q.r.prompt_tokens / 2;
  q.r.max_tokens = 100;
  // A try is given up after half of the deadline or more, and that is long after the aim for long prompts.
  q.r.client_deadline =
      now_ + Duration(static_cast<std::int64_t>(static_cast<double>(q.cls.deadline.count()) *
                                                (0.5 + 0.5 * (step.which % 10) / 9.0)));
  q.r.client_retry = step.how % 3 == 0;
  q.r.resubmitted = rules->may_migrate_streams && step.how % 5 == 0;
  if (step.much % 50 == 3) q.r.request_class = "unknown";
  const Request r = q.r;
  const Open& here = requests_.emplace(r.id, std::move(q)).first->second;
  pass(r);
  check(here.answered || r.request_class != "unknown", "a class that is not known was not answered at once");
  if (step.much % 40 == 7 && !here.over()) pass(r);  // a known id is ignored
}

std::optional<std::pair<Fixture::Open*, int>> Fixture::pick_out(int which, bool begun_too) {
  std::vector<std::pair<Open*, int>> all;
  for (auto& [id, q] : requests_) {
    for (std::size_t i = 0; i < q.attempts.size(); ++i) {
      const Attempt& a = q.attempts[i];
      if (a.out && (begun_too || !a.begun)) all.emplace_back(&q, static_cast<int>(i));
    }
  }
  if (all.empty()) return std::nullopt;
  return all[static_cast<std::size_t>(which) % all.size()];
}

// What goes well: a read ends, a stream begins, a stream ends.
void Fixture::progress(const Step& step) {
  const auto chosen = pick_out(step.which, true);
  if (!chosen) return;
  const auto [q, number] = *chosen;
  const Attempt& a = q->attempts[static_cast<std::size_t>(number)];
  if (a.reading) return end_attempt(*q, number, AttemptStatus::kRead, q->r.prompt_tokens / 3, {}, step);
  if (a.begun) return end_attempt(*q, number, AttemptStatus::kServed, 0, {}, step);
  if (a.needs_state && !state_there(*q))
    return end_attempt(*q, number, AttemptStatus::kFull, 0, AttemptEvidence::kStateNotFound, step);
  // An answer may be so short that its end is all that is seen of it.
  q->over() || step.how % 20 == 0 ? end_attempt(*q, number, AttemptStatus::kServed, 0, {}, step)
                                  : begin_stream(*q, number);
}

void Fixture::fail_attempt(const Step& step) {
  const auto chosen = pick_out(step.which, step.how % 4 == 0);
  if (!chosen) return;
  const auto [q, number] = *chosen;
  const Attempt& a = q->attempts[static_cast<std::size_t>(number)];
  if (a.begun) return end_attempt(*q, number, AttemptStatus::kReset, 0, {}, step);
  static const AttemptStatus verdicts[] = {AttemptStatus::kFull, AttemptStatus::kConnectFailed,
                                           AttemptStatus::kReset, AttemptStatus::kError};
  const AttemptStatus v = step.which % 50 == 9 ? AttemptStatus::kNeverSent : verdicts[step.much % 4];
  // An answer that had begun and was spoilt took the state along; a state may be lost at its reader.
  const bool with_state = !a.reading && state_there(*q);
  AttemptEvidence evidence{};
  if (with_state && step.much % 3 == 0) {
    if (v == AttemptStatus::kFull) evidence = AttemptEvidence::kStateNotFound;
    if (v == AttemptStatus::kReset || v == AttemptStatus::kError)
      evidence = AttemptEvidence::kEndpointRunning;
  }
  end_attempt(*q, number, v, 0, evidence, step);
}

void Fixture::leave(const Step& step) {
  std::vector<Open*> here;
  for (auto& [id, q] : requests_) {
    if (!q.answered && !q.gone) here.push_back(&q);
  }
  if (here.empty()) return;
  Open& q = *here[static_cast<std::size_t>(step.which) % here.size()];
  q.gone = true;
  pass(ClientGone{q.r.id});
}

void Fixture::begin_stream(Open& q, int number) {
  Attempt& a = q.attempts[static_cast<std::size_t>(number)];
  a.begun = true;
  a.cancelled = {};
  q.begun = true;
  q.held_at.reset();
  pass(FirstToken{q.r.id, a.endpoint, number, now_ - a.sent});
}

void Fixture::end_attempt(Open& q, int number, AttemptStatus status, int cached_tokens,
                          AttemptEvidence evidence, const Step& step) {
  Attempt& a = q.attempts[static_cast<std::size_t>(number)];
  a.out = false;
  // One that came up is no failed connection: the host turns it away.
  if (status == AttemptStatus::kConnectFailed && a.connect_by != Time{} && now_ > a.connect_by)
    status = AttemptStatus::kFull, cached_tokens = 0, evidence = {};
  a.may_have_run = !a.reading && !proves_it_never_ran(status);
  a.free = status == AttemptStatus::kConnectFailed && number < q.rules->free_connect_failures;
  if (status == AttemptStatus::kRead) q.held_at = a.endpoint;
  if (status == AttemptStatus::kServed) q.held_at.reset();
  if (evidence != AttemptEvidence::kNone && !a.reading) q.held_at.reset();
  if (status != AttemptStatus::kConnectFailed || !q.rules->reservation_expires_while_connecting)
    q.idle_since = now_;
  AttemptCompleted o{q.r.id, a.endpoint, number, status, now_ - a.sent, false, cached_tokens, evidence, {}};
  // The first answer that is served ends a request, and so does the break of a stream that had begun.
  o.finished = q.answered || q.gone || status == AttemptStatus::kServed || a.begun;
  if (o.finished && !q.gone && !q.answered) q.answered = true;
  if (settings_[current_]->report_source == ReportSource::kInAnswers && step.how % 2 == 0) {
    o.report.memory_share = step.much / 1000.0;
    o.report.prompt_kilotokens = step.which / 20.0;
    if (step.how % 4 == 0) o.report.in_hand = step.much / 10.0;
  }
  pass(o);
}

void Fixture::lose_states(const EndpointId& endpoint) {
  for (auto& [id, q] : requests_) {
    if (q.held_at == endpoint) q.held_at.reset();
  }
}

void Fixture::send_list(ListKind kind, std::vector<EndpointInfo> entries) {
  if (kind == ListKind::kFull || kind == ListKind::kCached) {
    for (auto& [name, h] : endpoints_) {
      const bool listed = std::any_of(entries.begin(), entries.end(),
                                      [&](const EndpointInfo& e) { return e.endpoint == name; });
      if (listed) continue;
      if (!h.told_off) h.told_off = now_;
      lose_states(name);
    }
  }
  for (const EndpointInfo& e : entries) {
    const auto& kinds = settings_[current_]->kinds;
    const auto kind_of =
        std::find_if(kinds.begin(), kinds.end(), [&](const EndpointKind& k) { return k.name == e.kind; });
    Known& h = endpoints_[e.endpoint];
    if (h.entry.started != e.started || e.state == EndpointState::kRemoved) lose_states(e.endpoint);
    h.entry = e;
    h.role = kind_of->role;
    if (e.state == EndpointState::kReady)
      h.told_off.reset();
    else if (!h.told_off)
      h.told_off = now_;
  }
  pass(EndpointList{kind, std::move(entries)});
}

void Fixture::list(const Step& step) {
  if (step.how % 10 == 0) return pass(EndpointList{ListKind::kFailed, {}});
  if (step.how % 10 == 1) {  // a whole list, without some of the hosts
    std::vector<EndpointInfo> entries;
    int i = 0;
    for (const auto& [name, h] : endpoints_) {
      if (step.much % (2 + i++ % 5) != 1) entries.push_back(h.entry);
    }
    return send_list(ListKind::kFull, std::move(entries));
  }
  auto at = endpoints_.begin();
  std::advance(at, static_cast<std::ptrdiff_t>(static_cast<std::size_t>(step.which) % endpoints_.size()));
  EndpointInfo e = at->second.entry;
  switch (step.how % 10) {
    case 2:
    case 3:
      e.state = EndpointState::kDraining;
      break;
    case 4:
      e.state = EndpointState::kRemoved;
      break;
    case 5:
    case 6:  // a new process
      e.state = EndpointState::kReady;
      e.started = now_;
      break;
    case 7:  // a new machine
      e.state = EndpointState::kReady;
      e.endpoint = e.endpoint.value() + "n" + std::to_string(restarts_++);
      e.started = now_;
      break;
    default:
      e.state = EndpointState::kReady;
  }
  send_list(ListKind::kDelta, {e});
}

// The list is read anew by the new settings, as their kinds may have other duties.
void Fixture::change_settings(const Step&) {
  if (settings_.size() < 2) return;
  current_ = (current_ + 1) % settings_.size();
  pass(SettingsChanged{settings_[current_]});
  std::vector<EndpointInfo> entries;
  for (const auto& [name, h] : endpoints_) {
    if (h.entry.state != EndpointState::kRemoved) entries.push_back(h.entry);
  }
  send_list(ListKind::kFull, std::move(entries));
}

// ---- time ----

Time Fixture::round_up(Time time) const { return (time + tick_ - Duration(1)) / tick_ * tick_; }

Time Fixture::ends(const Open&, const Attempt& a) const {
  if (a.cancelled != Time{}) return round_up(a.cancelled);
  return a.begun ? Time::max() : round_up(std::max(a.deadline, a.sent + Duration(1)));
}

bool Fixture::end_due() {
  for (auto& [id, q] : requests_) {
    for (std::size_t i = 0; i < q.attempts.size(); ++i) {
      const Attempt& a = q.attempts[i];
      if (!a.out || ends(q, a) > now_) continue;
      end_attempt(q, static_cast<int>(i),
                  a.cancelled != Time{} ? AttemptStatus::kCancelled : AttemptStatus::kTimeout, 0, {});
      return true;
    }
  }
  return false;
}

void Fixture::let_pass(Duration time) {
  const Time until = round_up(now_ + time);
  for (;;) {
    while (end_due()) {
    }
    if (!timers_.empty() && timers_.begin()->first <= now_) {
      const std::uint64_t tag = timers_.begin()->second;
      timers_.erase(timers_.begin());
      pass(TimerExpired{tag});
      continue;
    }
    if (now_ >= until) return;
    Time next = until;
    if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
    for (const auto& [id, q] : requests_) {
      for (const Attempt& a : q.attempts) {
        if (a.out) next = std::min(next, ends(q, a));
      }
    }
    now_ = std::max(next, now_);
    for (const auto& [id, q] : requests_) {
      check(q.over() || now_ <= q.r.client_deadline + q.rules->answer_slack,
            id.value() + " has no final answer by deadline and slack");
      check(!q.held_at || out(q) > 0 || now_ <= q.idle_since + q.rules->reservation_limit,
            id.value() + ": its state is held past the pin limit");
    }
  }
}

void Fixture::finish(bool in_haste) {
  note("-- the end: no more requests --");
  if (in_haste) {
    for (std::size_t i = 0; i < requests_.size(); ++i) leave({});
    while (const auto chosen = pick_out(0, true))
      end_attempt(*chosen->first, chosen->second, AttemptStatus::kReset, 0, {});
  }
  const auto open = [&] {
    return std::any_of(requests_.begin(), requests_.end(),
                       [](const auto& e) { return !e.second.over() || out(e.second) > 0; });
  };
  for (int i = 0; open() || !timers_.empty(); ++i) {
    check(i < 5000, "it does not come to an end");
    for (auto& [id, q] : requests_) {
      for (std::size_t n = 0; n < q.attempts.size(); ++n) {
        if (q.attempts[n].out && q.attempts[n].begun)
          end_attempt(q, static_cast<int>(n), AttemptStatus::kServed, 0, {});
      }
    }
    let_pass(milliseconds(100));
  }
  check(std::none_of(requests_.begin(), requests_.end(),
                     [](const auto& e) { return e.second.held_at.has_value(); }),
        "a state is still held");
  check(router_.table_sizes().requests == 0, "requests are left in the table");
  send_list(ListKind::kFull, {endpoints_.begin()->second.entry});
  check(router_.table_sizes().endpoints <= 1, "hosts that are gone are left in the table");
  check(router_.table_sizes().index_keys <= 2 * requests_.size(), "more texts are kept than came");
}

}  // namespace dispatcher::routing::testing
