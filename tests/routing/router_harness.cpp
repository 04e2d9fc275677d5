#include "router_harness.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "tests/fixtures/base_settings.hpp"

namespace dispatcher::routing::testing {
namespace {

RequestClass idempotent_class() {
  RequestClass request_class;
  request_class.name = "safe";
  request_class.idempotency = Idempotency::kIdempotent;
  request_class.deduplication_scope = DeduplicationScope::kAll;
  request_class.deduplication_window = seconds(5);
  request_class.latency_objective = seconds(1);
  request_class.deadline = seconds(6);
  request_class.token_latency_objective = milliseconds(60);
  request_class.priority_weight = 1;
  request_class.late_weight = 0.3;
  return request_class;
}

RequestClass non_idempotent_class() {
  RequestClass request_class = idempotent_class();
  request_class.name = "unsafe";
  request_class.idempotency = Idempotency::kNonIdempotent;
  request_class.latency_objective = seconds(3);
  request_class.deadline = seconds(15);
  request_class.token_latency_objective = milliseconds(80);
  request_class.priority_weight = 2;
  request_class.late_weight = 0.2;
  return request_class;
}

RequestClass keyed_class(const std::string& name, DeduplicationScope scope, double late_weight) {
  RequestClass request_class = idempotent_class();
  request_class.name = name;
  request_class.idempotency = Idempotency::kKeyed;
  request_class.deduplication_scope = scope;
  request_class.late_weight = late_weight;
  return request_class;
}

}  // namespace

Settings make_settings() {
  Settings settings = base_settings(
      "east",
      {idempotent_class(), non_idempotent_class(), keyed_class("keyed", DeduplicationScope::kZone, 0.3),
       keyed_class("keyed-all", DeduplicationScope::kAll, 0)},
      {{"r", Role::kReader, 200000}, {"w", Role::kWriter, 150000}, {"m", Role::kMixed, 200000}});
  settings.router_count = 2;
  settings.may_migrate_streams = true;
  settings.max_attempts = 6;
  settings.over_quota_weight = 0.2;
  settings.warmup_time = seconds(13);
  settings.overload_multiple = 3;
  settings.overload_window = seconds(3);
  return settings;
}

EndpointInfo make_endpoint(const EndpointId& id, const std::string& kind, const EndpointSpec& spec) {
  return {id, spec.zone, kind, spec.cell, spec.state, 1.0, spec.started};
}

EndpointInfo reader(const EndpointId& id, const EndpointSpec& spec) { return make_endpoint(id, "r", spec); }

EndpointInfo writer(const EndpointId& id, const EndpointSpec& spec) { return make_endpoint(id, "w", spec); }

EndpointInfo mixed(const EndpointId& id, const EndpointSpec& spec) { return make_endpoint(id, "m", spec); }

std::vector<EndpointInfo> make_endpoints() {
  return {reader("r1", {.cell = 1}), reader("r2", {.cell = 2}), writer("w1", {.cell = 1}),
          writer("w2", {.cell = 2}), writer("w3", {.cell = 3, .zone = "west"})};
}

std::vector<EndpointInfo> writers_and_readers(int writer_count, int reader_count) {
  std::vector<EndpointInfo> endpoints;
  for (int i = 1; i <= writer_count; ++i) endpoints.push_back(writer("w" + std::to_string(i)));
  for (int i = 0; i < reader_count; ++i) endpoints.push_back(reader("r" + std::to_string(i)));
  return endpoints;
}

bool has_log(const std::vector<Action>& actions, const std::string& text) {
  return std::ranges::any_of(actions, [&text](const Action& action) {
    const auto* message = std::get_if<LogMessage>(&action);
    return message != nullptr && message->text.find(text) != std::string::npos;
  });
}

RouterHarness::RouterHarness(const Settings& settings) : router_(settings, 1) {
  for (const EndpointKind& kind : settings.kinds) roles_[kind.name] = kind.role;
}

// ---- time ----

void RouterHarness::advance(Duration time) {
  const Time until = now_ + time;
  while (now_ < until) {
    now_ += milliseconds(20);
    expire_timer();
  }
}

std::vector<Action> RouterHarness::expire_timer() {
  if (!std::exchange(timer_is_set_, false)) return {};
  return handle(TimerExpired{0});
}

// ---- events ----

std::vector<Action> RouterHarness::handle(const Event& event) {
  std::vector<Action> actions = router_.handle(now_, event);
  for (const Action& action : actions) {
    std::visit([this](const auto& alternative) { apply(alternative); }, action);
  }
  return actions;
}

void RouterHarness::update_endpoints(std::vector<EndpointInfo> endpoints, ListKind kind) {
  for (const EndpointInfo& endpoint : endpoints) kinds_[endpoint.endpoint] = endpoint.kind;
  handle(EndpointList{kind, std::move(endpoints)});
}

void RouterHarness::report_load(const EndpointId& endpoint, const LoadReport& load) {
  handle(AttemptCompleted{"elsewhere", endpoint, 0, AttemptStatus::kRead, {}, true, 0, {}, load});
}

Request RouterHarness::make_request(const RequestId& id, const RequestSpec& spec) const {
  Request request;
  request.id = id;
  request.request_class = spec.request_class;
  request.session = static_cast<std::uint64_t>(spec.session);
  request.shared_prefix = static_cast<std::uint64_t>(spec.shared_prefix);
  request.prompt_tokens = spec.prompt_tokens;
  request.prefix_tokens = spec.prefix_tokens;
  request.client_deadline = now_ + seconds(6);
  return request;
}

EndpointId RouterHarness::submit(const RequestId& id, const RequestSpec& spec) {
  return submit(make_request(id, spec));
}

EndpointId RouterHarness::submit(const Request& request) {
  handle(request);
  return active_endpoint(request.id);
}

std::vector<Action> RouterHarness::complete(const RequestId& id, AttemptStatus status,
                                            const AttemptReport& report) {
  RequestRecord& request = requests_[id];
  const EndpointId endpoint = std::exchange(request.active_endpoint, EndpointId());
  if (status == AttemptStatus::kServed) request.is_over = true;
  if (status == AttemptStatus::kRead) request.holds_prompt_state = true;
  return handle(AttemptCompleted{id, endpoint, request.attempt_count - 1, status, report.elapsed,
                                 request.is_over, report.cached_tokens, report.evidence, report.load});
}

void RouterHarness::send_first_token(const RequestId& id, Duration elapsed) {
  RequestRecord& request = requests_[id];
  request.holds_prompt_state = false;
  handle(FirstToken{id, request.active_endpoint, request.attempt_count - 1, elapsed});
}

void RouterHarness::serve(const RequestId& id) {
  if (is_at(Role::kReader, id)) complete(id, AttemptStatus::kRead);
  send_first_token(id);
  complete(id, AttemptStatus::kServed);
}

void RouterHarness::disconnect_client(const RequestId& id) {
  requests_[id].is_over = true;
  handle(ClientGone{id});
}

bool RouterHarness::is_at(Role role, const RequestId& id) {
  const auto kind = kinds_.find(active_endpoint(id));
  return kind != kinds_.end() && roles_.at(kind->second) == role;
}

// ---- actions ----

void RouterHarness::apply(const StartAttempt& start) {
  RequestRecord& request = requests_[start.request];
  EXPECT_FALSE(request.is_over) << "sent after the request was over";
  EXPECT_EQ(request.active_endpoint, "") << "sent while another attempt is in flight";
  request.active_endpoint = start.endpoint;
  ++request.attempt_count;
  started_.push_back(start);
}

void RouterHarness::apply(const CancelAttempt& cancel) { cancelled_.push_back(cancel.request); }

void RouterHarness::apply(const Reject& reject) {
  RequestRecord& request = requests_[reject.request];
  EXPECT_FALSE(request.is_over) << "a second final answer";
  EXPECT_EQ(request.active_endpoint, "") << "rejected with an attempt in flight";
  request.is_over = true;
  rejected_.push_back(reject.request);
}

void RouterHarness::apply(const Fail& fail) {
  RequestRecord& request = requests_[fail.request];
  EXPECT_FALSE(request.is_over) << "a second final answer";
  request.is_over = true;
  failed_.push_back(fail.request);
}

void RouterHarness::apply(const MigrateStream& migrate) { requests_[migrate.request].is_over = true; }

void RouterHarness::apply(const ReleaseReservation& release) {
  released_.push_back(release.request);
  requests_[release.request].holds_prompt_state = false;
}

std::vector<StartAttempt> RouterHarness::take_started() { return std::exchange(started_, {}); }

std::vector<RequestId> RouterHarness::take_cancelled() { return std::exchange(cancelled_, {}); }

void warm_up(RouterHarness& harness) {
  for (int i = 0; i < 40; ++i) {
    const RequestId id = "warm" + std::to_string(i);
    harness.submit(id, {.session = 5000 + i});
    harness.advance(milliseconds(60));
    harness.serve(id);
    harness.advance(milliseconds(40));
  }
}

}  // namespace dispatcher::routing::testing
