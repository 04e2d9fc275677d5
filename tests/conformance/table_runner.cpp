#include "table_runner.hpp"

#include <algorithm>
#include <sstream>
#include <utility>
#include <variant>

namespace dispatcher::routing::conformance {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

template <typename Identifier>
[[noreturn]] void fail_for(const Identifier& id, const char* what) {
  std::ostringstream text;
  text << id << ": " << what;
  fail(text.str());
}

Duration read_time(const Request& request) {
  return milliseconds(10) + microseconds(40) * request.prompt_tokens;
}

}  // namespace

TableRunner::TableRunner(const Settings& settings, std::uint64_t seed, const Bounds& bounds)
    : router_(settings, seed), design_(settings, std::nullopt), module_(settings, bounds) {}

Role TableRunner::role(const EndpointId& endpoint) const { return roles_.at(endpoint); }

// ---- events and actions ----

void TableRunner::handle(const Event& event) {
  design_.observe(now_, event);
  module_.observe(now_, event);
  for (const Action& action : router_.handle(now_, event)) {
    design_.observe(action);
    module_.observe(action);
    apply(action);
  }
}

void TableRunner::apply(const Action& action) {
  if (const auto* start = std::get_if<StartAttempt>(&action)) {
    RequestRecord& request = requests_.at(start->request);
    if (!request.active_endpoint.empty())
      fail_for(start->request, "a second attempt was started while one is in flight");
    request.active_endpoint = start->endpoint;
    ++request.attempt_count;
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    timers_.emplace(now_ + timer->after, timer->tag);
  } else if (const auto* reject = std::get_if<Reject>(&action)) {
    requests_.at(reject->request).is_over = true;
  } else if (const auto* failed = std::get_if<Fail>(&action)) {
    requests_.at(failed->request).is_over = true;
  }
}

template <typename Function>
EndpointId TableRunner::with_only_ready(const EndpointId& endpoint, Function function) {
  if (!listed_.contains(endpoint)) fail_for(endpoint, "not in the endpoint list");
  const auto is_writer = [this](const EndpointId& id) { return role(id) == Role::kWriter; };
  EndpointList drained{ListKind::kDelta, {}}, ready{ListKind::kDelta, {}};
  for (const auto& [id, info] : listed_) {
    const bool is_other_stage = is_writer(id) != is_writer(endpoint);
    if (id == endpoint || info.state != EndpointState::kReady || is_other_stage) continue;
    ready.entries.push_back(info);
    drained.entries.push_back(info);
    drained.entries.back().state = EndpointState::kDraining;
  }
  handle(drained);
  EndpointId active_endpoint = function();
  handle(ready);
  if (active_endpoint != endpoint) fail_for(endpoint, "no attempt was sent to this endpoint");
  return active_endpoint;
}

void TableRunner::advance(Duration time) {
  const Time until = now_ + time;
  while (!timers_.empty() && timers_.begin()->first <= until) {
    now_ = std::max(now_, timers_.begin()->first);
    const std::uint64_t tag = timers_.begin()->second;
    timers_.erase(timers_.begin());
    handle(TimerExpired{tag});
  }
  now_ = until;
  design_.set_time(now_);
  module_.set_time(now_);
}

void TableRunner::update_endpoints(const EndpointList& list) {
  if (list.kind == ListKind::kFull) listed_.clear();
  for (const EndpointInfo& info : list.entries) {
    listed_[info.endpoint] = info;
    roles_[info.endpoint] = parse_role(info.kind);
  }
  handle(list);
}

void TableRunner::set_administrative_state(const EndpointId& endpoint, AdministrativeState state) {
  handle(AdministrativeDrain{endpoint, state});
}

// ---- requests ----

Request TableRunner::make_request(const Json& fields) const {
  require_known_fields(fields, {"id", "session", "shared", "prompt", "prefix", "class", "tenant", "left_ms"});
  Request request;
  request.id = fields.value("id", "asked");
  request.request_class = fields.value("class", "ask");
  request.tenant = fields.value("tenant", "");
  request.session = fields.value("session", std::uint64_t{0});
  request.shared_prefix = fields.value("shared", std::uint64_t{0});
  request.prompt_tokens = fields.value("prompt", 1000);
  request.prefix_tokens = fields.value("prefix", 0);
  request.max_tokens = 100;
  request.client_deadline = now_ + parse_milliseconds(fields, "left_ms", 6000);
  return request;
}

Request TableRunner::make_unnamed_request() {
  ++unnamed_requests_;
  Request request = make_request({{"prompt", 100}});
  request.id = "step " + std::to_string(unnamed_requests_);
  return request;
}

EndpointId TableRunner::submit(const Request& request, const std::optional<EndpointId>& only_at) {
  const auto submit_request = [&] {
    requests_[request.id].request = request;
    handle(request);
    return requests_[request.id].active_endpoint;
  };
  return only_at ? with_only_ready(*only_at, submit_request) : submit_request();
}

EndpointId TableRunner::complete_read(const RequestId& id, const std::optional<EndpointId>& only_at) {
  const auto complete_read_attempt = [&] {
    complete(id, AttemptStatus::kRead, {});
    return requests_.at(id).active_endpoint;
  };
  return only_at ? with_only_ready(*only_at, complete_read_attempt) : complete_read_attempt();
}

void TableRunner::complete(const RequestId& id, AttemptStatus status, const AttemptEnd& end) {
  RequestRecord& request = requests_.at(id);
  if (request.active_endpoint.empty()) fail_for(id, "no attempt is in flight");
  AttemptCompleted completed;
  completed.request = id;
  completed.endpoint = std::exchange(request.active_endpoint, EndpointId());
  completed.attempt = request.attempt_count - 1;
  completed.status = status;
  completed.elapsed = read_time(request.request);
  completed.finished = end.is_finished;
  completed.report = end.report;
  if (status == AttemptStatus::kRead) {
    completed.cached_prompt_tokens = end.cached_tokens.value_or(module_.cached_tokens(id));
  } else if (end.has_evidence) {
    completed.evidence =
        status == AttemptStatus::kFull ? AttemptEvidence::kStateNotFound : AttemptEvidence::kEndpointRunning;
  }
  handle(completed);
}

void TableRunner::send_first_token(const RequestId& id, Duration elapsed) {
  const RequestRecord& request = requests_.at(id);
  if (request.active_endpoint.empty()) fail_for(id, "no attempt is in flight");
  handle(FirstToken{id, request.active_endpoint, request.attempt_count - 1, elapsed});
}

void TableRunner::serve(const RequestId& id, const LoadReport& report) {
  complete(id, AttemptStatus::kServed, {.report = report, .is_finished = true});
}

void TableRunner::disconnect_client(const RequestId& id, const LoadReport& report) {
  handle(ClientGone{id});
  if (requests_.at(id).active_endpoint.empty()) return;
  complete(id, AttemptStatus::kCancelled, {.report = report, .is_finished = true});
}

}  // namespace dispatcher::routing::conformance
