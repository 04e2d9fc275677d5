// Uses the installed package as a dispatcher does: routes one request to a reader, then to a writer, until it
// has been served. Prints the two endpoints; the exit code is 0 if the request was served.
#include <chrono>
#include <iostream>
#include <routing/router.hpp>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace dispatcher::routing;
using std::chrono::milliseconds;

Settings make_settings() {
  RequestClass request_class;
  request_class.name = "line";
  request_class.idempotency = Idempotency::kIdempotent;
  request_class.deduplication_scope = DeduplicationScope::kAll;
  request_class.latency_objective = milliseconds(1000);
  request_class.deadline = milliseconds(6000);
  request_class.token_latency_objective = milliseconds(60);
  request_class.priority_weight = 1;
  Settings settings;
  settings.router_count = 1;
  settings.classes = {request_class};
  settings.kinds = {{"reader", Role::kReader, 200000}, {"writer", Role::kWriter, 100000}};
  settings.max_attempts = 4;
  settings.reservation_limit = milliseconds(300);
  return settings;
}

EndpointInfo make_endpoint(const char* name, const char* kind) {
  return {name, "here", kind, 0, EndpointState::kReady, 1, {}};
}

Request make_request() {
  Request request;
  request.id = "one";
  request.request_class = "line";
  request.prompt_tokens = 1000;
  request.client_deadline = milliseconds(6000);
  return request;
}

// Returns the endpoint to which the actions send an attempt, or an empty id if they send none.
EndpointId target_of(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) return start->endpoint;
  }
  return {};
}

}  // namespace

int main() {
  Router router(make_settings(), 42);
  Time now = milliseconds(1);
  router.handle(
      now, EndpointList{ListKind::kFull, {make_endpoint("r1", "reader"), make_endpoint("w1", "writer")}});
  const auto reader = target_of(router.handle(now, make_request()));
  now += milliseconds(50);
  const AttemptCompleted read{"one", reader, 0, AttemptStatus::kRead, milliseconds(50), false, 0, {}, {}};
  const auto writer = target_of(router.handle(now, read));
  router.handle(now, FirstToken{"one", writer, 1, milliseconds(20)});
  router.handle(
      now, AttemptCompleted{"one", writer, 1, AttemptStatus::kServed, milliseconds(900), true, 0, {}, {}});
  const bool is_served = reader == "r1" && writer == "w1" && router.table_sizes().requests == 0;
  if (!is_served) {
    std::cout << "the request was not served\n";
    return 1;
  }
  std::cout << "served by " << reader << " and " << writer << "\n";
  return 0;
}
