// A dispatcher in miniature: feeds one request through reading and writing to its end.
#include <iostream>
#include <routing/router.hpp>
#include <string>

int main() {
  using namespace dispatcher::routing;
  using std::chrono::milliseconds;
  Settings s;
  s.router_count = 1;
  s.classes.push_back({"line",
                       Idempotency::kIdempotent,
                       DeduplicationScope::kAll,
                       {},
                       milliseconds(1000),
                       {},
                       milliseconds(6000),
                       milliseconds(60),
                       1,
                       0});
  s.kinds = {{"reader", Role::kReader, 200000}, {"writer", Role::kWriter, 100000}};
  s.max_attempts = 4;
  s.reservation_limit = milliseconds(300);
  Router router(s, 42);
  Time now = milliseconds(1);
  const auto sent_to = [](const std::vector<Action>& actions) {
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<StartAttempt>(&a)) return send->endpoint;
    }
    return EndpointId();
  };
  router.handle(now, EndpointList{ListKind::kFull,
                                  {{"r1", "here", "reader", 0, EndpointState::kReady, 1, {}},
                                   {"w1", "here", "writer", 0, EndpointState::kReady, 1, {}}}});
  Request r;
  r.id = "one";
  r.request_class = "line";
  r.prompt_tokens = 1000;
  r.client_deadline = milliseconds(6000);
  const EndpointId reader = sent_to(router.handle(now, r));
  now += milliseconds(50);
  const EndpointId writer = sent_to(router.handle(
      now, AttemptCompleted{"one", reader, 0, AttemptStatus::kRead, milliseconds(50), false, 0, {}, {}}));
  router.handle(now, FirstToken{"one", writer, 1, milliseconds(20)});
  router.handle(
      now, AttemptCompleted{"one", writer, 1, AttemptStatus::kServed, milliseconds(900), true, 0, {}, {}});
  const bool ok = reader == "r1" && writer == "w1" && router.table_sizes().requests == 0;
  std::cout << (ok ? "served by " + reader.value() + " and " + writer.value() : "not served") << "\n";
  return ok ? 0 : 1;
}
