// Drives a router by hand and keeps what a dispatcher would know: attempts out, states held, answers given.
#ifndef DISPATCHER_TESTS_HARNESS_HPP_
#define DISPATCHER_TESTS_HARNESS_HPP_

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "routing/router.hpp"

namespace dispatcher::routing::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline Settings make_settings() {
  Settings s;
  s.router_number = 0;
  s.router_count = 2;
  s.zone = "east";
  s.classes = {{"safe",
                Idempotency::kIdempotent,
                DeduplicationScope::kAll,
                seconds(5),
                seconds(1),
                {},
                seconds(6),
                milliseconds(60),
                1,
                0.3},
               {"unsafe",
                Idempotency::kNonIdempotent,
                DeduplicationScope::kAll,
                seconds(5),
                seconds(3),
                {},
                seconds(15),
                milliseconds(80),
                2,
                0.2},
               {"keyed",
                Idempotency::kKeyed,
                DeduplicationScope::kZone,
                seconds(5),
                seconds(1),
                {},
                seconds(6),
                milliseconds(60),
                1,
                0.3},
               {"keyed-all",
                Idempotency::kKeyed,
                DeduplicationScope::kAll,
                seconds(5),
                seconds(1),
                {},
                seconds(6),
                milliseconds(60),
                1,
                0}};
  s.kinds = {{"r", Role::kReader, 200000}, {"w", Role::kWriter, 150000}, {"m", Role::kMixed, 200000}};
  s.may_cancel = true;
  s.may_migrate_streams = true;
  s.retry_advice = true;
  s.max_retry_after = milliseconds(500);
  s.max_attempts = 6;
  s.over_quota_weight = 0.2;
  s.tick = milliseconds(4);
  s.answer_slack = milliseconds(16);
  s.drain_grace = milliseconds(250);
  s.reservation_limit = milliseconds(300);
  s.warmup_initial_share = 0.3;
  s.warmup_time = seconds(13);
  s.overload_multiple = 3;
  s.overload_window = seconds(3);
  return s;
}

inline EndpointInfo endpoint(const std::string& name, const std::string& kind, int cell = 0,
                             const std::string& zone = "east", EndpointState state = EndpointState::kReady,
                             Time started = {}) {
  return {name, zone, kind, cell, state, 1.0, started};
}

// One or more endpoints of each role.
inline std::vector<EndpointInfo> make_endpoints() {
  return {endpoint("r1", "r", 1), endpoint("r2", "r", 2), endpoint("w1", "w", 1), endpoint("w2", "w", 2),
          endpoint("w3", "w", 3, "west")};
}

class Harness {
 public:
  explicit Harness(const Settings& s = make_settings()) : router(s, 1) {}

  // Passes an event and checks each action against what is known: one attempt at a time, nothing after an
  // end.
  std::vector<Action> pass(const Event& e) {
    std::vector<Action> actions = router.handle(now, e);
    for (const Action& a : actions) {
      if (const auto* s = std::get_if<StartAttempt>(&a)) {
        EXPECT_FALSE(ended[s->request.value()]) << "sent after the end";
        EXPECT_EQ(out[s->request.value()], "") << "second attempt at once";
        out[s->request.value()] = s->endpoint.value();
        ++attempts[s->request.value()];
        sends.push_back(*s);
      } else if (const auto* r = std::get_if<Reject>(&a)) {
        EXPECT_FALSE(ended[r->request.value()]) << "second final answer";
        EXPECT_EQ(out[r->request.value()], "") << "refused with an attempt out";
        ended[r->request.value()] = true;
        rejected.push_back(r->request.value());
      } else if (const auto* f = std::get_if<Fail>(&a)) {
        EXPECT_FALSE(ended[f->request.value()]) << "second final answer";
        ended[f->request.value()] = true;
        failed.push_back(f->request.value());
      } else if (const auto* l = std::get_if<ReleaseReservation>(&a)) {
        released.push_back(l->request.value());
        held[l->request.value()] = false;
      } else if (const auto* c = std::get_if<CancelAttempt>(&a)) {
        cancelled.push_back(c->request.value());
      } else if (std::get_if<SetTimer>(&a) != nullptr) {
        timer = true;
      } else if (const auto* m = std::get_if<MigrateStream>(&a)) {
        moved.push_back(m->request.value());
        ended[m->request.value()] = true;
      }
    }
    return actions;
  }
  void list(std::vector<EndpointInfo> entries, ListKind kind = ListKind::kFull) {
    pass(EndpointList{kind, std::move(entries)});
  }
  [[nodiscard]] Request make(const std::string& id, const std::string& cls = "safe",
                             std::uint64_t session = 0, std::uint64_t shared = 0, int prompt = 1000,
                             int prefix = 0) const {
    Request r;
    r.id = id;
    r.request_class = cls;
    r.session = session;
    r.shared_prefix = shared;
    r.prompt_tokens = prompt;
    r.prefix_tokens = prefix;
    r.client_deadline = now + seconds(6);
    return r;
  }
  std::string ask(const std::string& id, const std::string& cls = "safe", std::uint64_t session = 0,
                  std::uint64_t shared = 0, int prompt = 1000, int prefix = 0) {
    pass(make(id, cls, session, shared, prompt, prefix));
    return out[id];
  }
  void end(const std::string& id, AttemptStatus status, AttemptEvidence evidence = {},
           milliseconds elapsed = milliseconds(50), LoadReport report = {}) {
    complete(id, status, 0, evidence, elapsed, report);
  }
  void end_read(const std::string& id, int cached_tokens, milliseconds elapsed = milliseconds(50),
                LoadReport report = {}) {
    complete(id, AttemptStatus::kRead, cached_tokens, {}, elapsed, report);
  }
  void complete(const std::string& id, AttemptStatus v, int cached_tokens, AttemptEvidence evidence,
                milliseconds elapsed, LoadReport report) {
    const std::string at = out[id];
    out[id] = "";
    if (v == AttemptStatus::kServed) ended[id] = true;
    if (v == AttemptStatus::kRead) held[id] = true;
    pass(AttemptCompleted{id, at, attempts[id] - 1, v, elapsed, ended[id], cached_tokens, evidence, report});
  }
  void first(const std::string& id, milliseconds elapsed = milliseconds(50)) {
    held[id] = false;
    pass(FirstToken{id, out[id], attempts[id] - 1, elapsed});
  }
  void run(Duration time) {  // lets time pass, with the timer's ticks
    const Time until = now + time;
    while (now < until) {
      now += milliseconds(20);
      if (std::exchange(timer, false)) pass(TimerExpired{0});
    }
  }
  void serve(const std::string& id) {  // takes a request through both stages
    if (out[id].starts_with("r")) end(id, AttemptStatus::kRead);
    first(id);
    end(id, AttemptStatus::kServed);
  }

  Time now = seconds(1000);
  Router router;
  bool timer = false;
  std::map<std::string, std::string> out;
  std::map<std::string, int> attempts;
  std::map<std::string, bool> ended, held;
  std::vector<StartAttempt> sends;
  std::vector<std::string> rejected, failed, released, cancelled, moved;
};

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_HARNESS_HPP_
