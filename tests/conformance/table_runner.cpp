#include "table_runner.hpp"

#include <algorithm>
#include <stdexcept>

namespace dispatcher::routing::conformance {
namespace {

using Ms = std::chrono::milliseconds;

[[noreturn]] void fail(const std::string& what) { throw std::runtime_error(what); }

Ms ms(const Json& json, const char* field, int otherwise = 0) { return Ms(json.value(field, otherwise)); }

template <typename Value>
Value one_of(const std::string& word, const std::map<std::string, Value>& values) {
  const auto at = values.find(word);
  if (at == values.end()) fail("unknown word: " + word);
  return at->second;
}

const std::map<std::string, Role> kRoles = {
    {"reader", Role::kReader}, {"writer", Role::kWriter}, {"mixed", Role::kMixed}};
const std::map<std::string, EndpointState> kStates = {{"ready", EndpointState::kReady},
                                                      {"draining", EndpointState::kDraining},
                                                      {"gone", EndpointState::kRemoved}};
const std::map<std::string, Idempotency> kRepeats = {{"safe", Idempotency::kIdempotent},
                                                     {"keyed", Idempotency::kKeyed},
                                                     {"unsafe", Idempotency::kNonIdempotent}};
const std::map<std::string, AttemptStatus> kAttemptStatusNames = {
    {"reset", AttemptStatus::kReset},
    {"connect_failed", AttemptStatus::kConnectFailed},
    {"full", AttemptStatus::kFull}};

// "r1", "r1@2" (in cell 2) or an object. The first letter tells the kind.
EndpointInfo endpoint_of(const Json& json) {
  const Json object = json.is_string() ? Json{{"host", json}} : json;
  only(object, {"host", "zone", "state", "weight", "started_ms"});
  std::string name = object.at("host");
  EndpointInfo entry;
  if (const auto at = name.find('@'); at != std::string::npos) {
    entry.cell = std::stoi(name.substr(at + 1));
    name.resize(at);
  }
  entry.endpoint = name;
  entry.kind = one_of<std::string>(name.substr(0, 1), {{"r", "reader"}, {"w", "writer"}, {"m", "mixed"}});
  entry.zone = object.value("zone", "east");
  entry.state = one_of(object.value("state", "ready"), kStates);
  entry.weight = object.value("weight", 1.0);
  entry.started = ms(object, "started_ms");
  return entry;
}

// An object, or [thousands of prompt tokens, share of memory] with null for what is not told.
LoadReport report_of(const Json& json) {
  LoadReport report;
  const auto number = [](const Json& j) {
    return j.is_null() ? std::nullopt : std::optional(j.get<double>());
  };
  if (json.is_array()) {
    report.prompt_kilotokens = number(json.at(0));
    report.memory_share = number(json.at(1));
    return report;
  }
  only(json, {"in_hand", "waiting", "memory"});
  report.in_hand = number(json.value("in_hand", Json()));
  report.prompt_kilotokens = number(json.value("waiting", Json()));
  report.memory_share = number(json.value("memory", Json()));
  return report;
}

Duration time_to_read(const Request& r) { return Ms(10) + std::chrono::microseconds(40) * r.prompt_tokens; }

}  // namespace

void only(const Json& object, std::initializer_list<const char*> fields) {
  for (const auto& [name, value] : object.items()) {
    const auto is = [&](const char* field) { return name == field; };
    if (std::none_of(fields.begin(), fields.end(), is)) fail("unknown field: " + name);
  }
}

Settings settings_of(const Json& json) {
  only(json, {"router_number", "router_count", "zone", "classes", "memory_tokens", "max_attempts", "tick_ms",
              "answer_slack_ms", "drain_grace_ms", "pin_limit_ms", "cold_share", "cold_ms", "tip_multiple",
              "tip_window_ms"});
  Settings s;
  s.router_number = json.at("router_number");
  s.router_count = json.at("router_count");
  s.zone = json.at("zone");
  for (const auto& [name, c] : json.at("classes").items()) {
    only(c, {"repeat", "objective_ms", "deadline_ms", "token_objective_ms"});
    RequestClass cls;
    cls.name = name;
    cls.idempotency = one_of(c.at("repeat"), kRepeats);
    cls.deduplication_window = std::chrono::seconds(5);
    cls.latency_objective = ms(c, "objective_ms");
    cls.deadline = ms(c, "deadline_ms");
    cls.token_latency_objective = ms(c, "token_objective_ms");
    cls.priority_weight = 1;
    s.classes.push_back(cls);
  }
  for (const auto& [name, tokens] : json.at("memory_tokens").items())
    s.kinds.push_back({name, one_of(name, kRoles), tokens});
  s.may_cancel = true;
  s.max_attempts = json.at("max_attempts");
  s.tick = ms(json, "tick_ms");
  s.answer_slack = ms(json, "answer_slack_ms");
  s.drain_grace = ms(json, "drain_grace_ms");
  s.reservation_limit = ms(json, "pin_limit_ms");
  s.warmup_initial_share = json.at("cold_share");
  s.warmup_time = ms(json, "cold_ms");
  s.overload_multiple = json.at("tip_multiple");
  s.overload_window = ms(json, "tip_window_ms");
  return s;
}

TableRunner::TableRunner(const Settings& settings, std::uint64_t seed, const Bounds& bounds)
    : router_(settings, seed), design_(settings, std::nullopt), module_(settings, bounds) {}

Role TableRunner::role(const std::string& endpoint) const { return roles_.at(endpoint); }

std::vector<std::string> TableRunner::endpoints() const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : listed_) names.push_back(name);
  return names;
}

void TableRunner::pass(const Event& event) {
  design_.hear(now_, event);
  module_.hear(now_, event);
  for (const Action& action : router_.handle(now_, event)) {
    design_.see(action);
    module_.see(action);
    if (const auto* send = std::get_if<StartAttempt>(&action)) {
      Attempts& a = attempts_.at(send->request.value());
      if (!a.at.empty()) fail(send->request.value() + ": a second attempt at once");
      a.at = send->endpoint.value();
      ++a.count;
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers_.emplace(now_ + timer->after, timer->tag);
    } else if (const auto* reject = std::get_if<Reject>(&action)) {
      attempts_.at(reject->request.value()).ended = true;
    } else if (const auto* failed = std::get_if<Fail>(&action)) {
      attempts_.at(failed->request.value()).ended = true;
    }
  }
}

Request TableRunner::request(const Json& fields) const {
  only(fields, {"id", "session", "shared", "prompt", "prefix", "class", "tenant", "left_ms"});
  Request r;
  r.id = fields.value("id", "asked");
  r.request_class = fields.value("class", "ask");
  r.tenant = fields.value("tenant", "");
  r.session = fields.value("session", std::uint64_t{0});
  r.shared_prefix = fields.value("shared", std::uint64_t{0});
  r.prompt_tokens = fields.value("prompt", 1000);
  r.prefix_tokens = fields.value("prefix", 0);
  r.max_tokens = 100;
  r.client_deadline = now_ + ms(fields, "left_ms", 6000);
  return r;
}

Request TableRunner::keyless() {
  Request r = request({{"prompt", 100}});
  r.id = "step " + std::to_string(++made_up_);
  return r;
}

template <typename Act>
std::string TableRunner::only_at(const std::string& endpoint, Act act) {
  if (endpoint.empty()) return act();
  if (!listed_.contains(endpoint)) fail("not listed: " + endpoint);
  const auto writes = [&](const std::string& name) { return role(name) == Role::kWriter; };
  EndpointList drained{ListKind::kDelta, {}}, ready = drained;
  for (const auto& [name, entry] : listed_) {
    if (name == endpoint || entry.state != EndpointState::kReady || writes(name) != writes(endpoint))
      continue;
    ready.entries.push_back(entry);
    drained.entries.push_back(entry);
    drained.entries.back().state = EndpointState::kDraining;
  }
  pass(drained);
  std::string at = act();
  pass(ready);
  if (at != endpoint) fail("no attempt at " + endpoint);
  return at;
}

std::string TableRunner::ask(const Request& request, const std::string& only_at) {
  return this->only_at(only_at, [&] {
    attempts_[request.id.value()].request = request;
    pass(request);
    return attempts_[request.id.value()].at;
  });
}

std::string TableRunner::end(const std::string& id, AttemptStatus status, const LoadReport& report, int note,
                             bool finished) {
  Attempts& a = attempts_.at(id);
  if (a.at.empty()) fail(id + ": no attempt is out");
  const std::string at = std::exchange(a.at, "");
  AttemptCompleted completed{id, at, a.count - 1, status, time_to_read(a.request), finished, 0, {}, report};
  // A table's note is a number: cached tokens of a success, else 1 for evidence.
  if (status == AttemptStatus::kRead || status == AttemptStatus::kServed) {
    completed.cached_prompt_tokens = note;
  } else if (note == 1) {
    completed.evidence =
        status == AttemptStatus::kFull ? AttemptEvidence::kStateNotFound : AttemptEvidence::kEndpointRunning;
  }
  pass(completed);
  return a.at;
}

std::string TableRunner::end_read(const std::string& id, const LoadReport& report, bool finished) {
  return end(id, AttemptStatus::kRead, report, module_.kept(id), finished);
}

std::string TableRunner::read(const std::string& id, const std::string& only_at) {
  return this->only_at(only_at, [&] { return end_read(id); });
}

void TableRunner::first(const std::string& id, Duration took) {
  const Attempts& a = attempts_.at(id);
  if (a.at.empty()) fail(id + ": no attempt is out");
  pass(FirstToken{id, a.at, a.count - 1, took});
}

void TableRunner::serve(const std::string& id, const LoadReport& report) {
  end(id, AttemptStatus::kServed, report, 0, true);
}

void TableRunner::gone(const std::string& id, const LoadReport& report) {
  pass(ClientGone{id});
  if (!attempts_.at(id).at.empty()) end(id, AttemptStatus::kCancelled, report, 0, true);
}

void TableRunner::wait(Duration time) {
  const Time until = now_ + time;
  while (!timers_.empty() && timers_.begin()->first <= until) {
    now_ = std::max(now_, timers_.begin()->first);
    const std::uint64_t tag = timers_.begin()->second;
    timers_.erase(timers_.begin());
    pass(TimerExpired{tag});
  }
  now_ = until;
  design_.pass_time(now_);
  module_.pass_time(now_);
}

void TableRunner::list(const Json& step) {
  only(step, {"list", "delta"});
  EndpointList list{step.value("delta", false) ? ListKind::kDelta : ListKind::kFull, {}};
  if (list.kind == ListKind::kFull) listed_.clear();
  for (const Json& json : step.at("list")) {
    const EndpointInfo entry = endpoint_of(json);
    list.entries.push_back(entry);
    listed_[entry.endpoint.value()] = entry;
    roles_[entry.endpoint.value()] = one_of(entry.kind, kRoles);
  }
  pass(list);
}

// By the outcome of a request without a key, read, written or cancelled there.
void TableRunner::report(const std::string& endpoint, const Json& figures) {
  const Request r = keyless();
  if (role(endpoint) == Role::kWriter) {
    ask(r);
    read(r.id.value(), endpoint);
    first(r.id.value());
    serve(r.id.value(), report_of(figures));
    return;
  }
  ask(r, endpoint);
  if (role(endpoint) == Role::kMixed) return gone(r.id.value(), report_of(figures));
  end_read(r.id.value(), report_of(figures), true);
}

// Whole reads, of which nothing is left but their keys; of one session after the other.
void TableRunner::teach(const Json& step) {
  only(step, {"teach", "session", "shared", "prompt", "prefix", "times"});
  Json fields = step;
  fields.erase("teach");
  fields.erase("times");
  for (int i = 0; i < step.value("times", 1); ++i) {
    Request r = request(fields);
    r.id = keyless().id;
    r.session += r.session != 0 ? static_cast<std::uint64_t>(i) : 0;
    const std::string at = ask(r, step.at("teach"));
    role(at) == Role::kMixed ? gone(r.id.value()) : void(end_read(r.id.value(), {}, true));
  }
}

void TableRunner::stream(const std::string& endpoint, const std::string& until) {
  const Request r = keyless();
  if (role(endpoint) == Role::kWriter) {
    ask(r);
    read(r.id.value(), endpoint);
  } else {
    ask(r, endpoint);
  }
  if (until != "sent") first(r.id.value());
  if (until == "served") serve(r.id.value());
}

void TableRunner::states(const std::string& reader, int count, const std::string& until) {
  std::vector<std::string> ids;
  for (int i = 0; i < count; ++i) {
    const Request r = keyless();
    ask(r, reader);
    read(r.id.value());
    ids.push_back(r.id.value());
  }
  for (const std::string& id : ids) {
    if (until == "gone") gone(id);
    if (until == "fetched") first(id);
  }
}

void TableRunner::step(const Json& step) {
  if (step.contains("list")) {
    list(step);
  } else if (step.contains("ask")) {
    only(step, {"ask", "at", "refused"});
    const Request r = request(step.at("ask"));
    ask(r, step.value("at", ""));
    if (attempts_.at(r.id.value()).ended != step.value("refused", false))
      fail(r.id.value() + ": refused or not");
  } else if (step.contains("teach")) {
    teach(step);
  } else if (step.contains("reports")) {
    only(step, {"reports"});
    for (const auto& [endpoint, figures] : step.at("reports").items()) report(endpoint, figures);
  } else if (step.contains("read")) {
    only(step, {"read", "report", "note", "finished"});
    const std::string id = step.at("read");
    const LoadReport load = report_of(step.value("report", Json::object()));
    end(id, AttemptStatus::kRead, load, step.value("note", module_.kept(id)), step.value("finished", false));
  } else if (step.contains("first")) {
    only(step, {"first", "took_ms"});
    first(step.at("first"), ms(step, "took_ms", 20));
  } else if (step.contains("serve")) {
    only(step, {"serve"});
    serve(step.at("serve"));
  } else if (step.contains("gone")) {
    only(step, {"gone"});
    gone(step.at("gone"));
  } else if (step.contains("end")) {
    only(step, {"end", "verdict", "note"});
    end(step.at("end"), one_of(step.at("verdict"), kAttemptStatusNames), {}, step.value("note", 0));
  } else if (step.contains("states")) {  // read there, waiting for a writer
    only(step, {"states", "count", "until"});
    states(step.at("states"), step.value("count", 1), step.value("until", "read"));
  } else if (step.contains("streams")) {
    only(step, {"streams", "count", "until"});
    for (int i = 0; i < step.value("count", 1); ++i) stream(step.at("streams"), step.value("until", "begun"));
  } else if (step.contains("wait_ms")) {
    only(step, {"wait_ms"});
    wait(ms(step, "wait_ms"));
  } else if (step.contains("maintenance")) {
    only(step, {"maintenance", "offline"});
    pass(AdministrativeDrain{step.at("maintenance").get<std::string>(), step.at("offline")});
  } else {
    fail("unknown step: " + step.dump());
  }
}

}  // namespace dispatcher::routing::conformance
