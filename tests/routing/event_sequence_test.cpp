// Seeded sequences of legal events, at which the rules on time and effects hold. No server speed is modelled.
#include <random>

#include "harness.hpp"

namespace dispatcher::routing::testing {
namespace {

// Seeded sequences of legal events. The harness checks each action; this adds the rules on time and effects.
class Sequences : public ::testing::TestWithParam<int> {};

TEST_P(Sequences, KeepTheRules) {
  std::mt19937 random(static_cast<unsigned>(GetParam()));
  const auto upto = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
  Settings s = make_settings();
  s.max_attempts = 2 + upto(5);
  s.may_cancel = upto(3) != 0;
  s.writers_can_prefill = upto(4) == 0;
  Harness h(s);
  const std::vector<std::string> names{"r1", "r2", "r3", "w1", "w2", "w3", "m1"};
  const std::vector<std::string> classes{"safe", "unsafe", "keyed", "keyed-all"};
  std::map<std::string, std::string> cls;
  std::map<std::string, Time> deadline, idle;
  std::map<std::string, bool> ran;
  std::map<std::string, EndpointState> state;
  std::size_t sends_seen = 0;
  int asked = 0;
  const auto audit = [&] {
    for (; sends_seen < h.sends.size(); ++sends_seen) {
      const StartAttempt& sent = h.sends[sends_seen];
      EXPECT_EQ(state[sent.endpoint.value()], EndpointState::kReady)
          << "sent to a host that drains or is gone";
      EXPECT_LE(h.attempts[sent.request.value()], s.max_attempts);
      if (cls[sent.request.value()] == "unsafe") {
        EXPECT_FALSE(ran[sent.request.value()]) << "second effect";
      }
    }
    for (const std::string& id : h.rejected) {
      if (cls[id] == "unsafe" || cls[id] == "keyed") {
        EXPECT_FALSE(ran[id]) << "refused though it may have run";
      }
    }
    for (const auto& [id, held] : h.held) {
      if (held && h.out[id].empty()) {
        EXPECT_LE(h.now, idle[id] + s.reservation_limit) << "pinned";
      }
    }
    for (const auto& [id, until] : deadline) {
      if (!h.ended[id] && h.out[id].empty()) {
        EXPECT_LE(h.now, until + s.answer_slack) << "no answer in time";
      }
    }
  };
  const auto set_state = [&](const std::string& name, EndpointState to) {
    state[name] = to;
    h.list({endpoint(name, name.substr(0, 1), name[1] - '0', name[1] == '3' ? "west" : "east", to,
                     upto(3) == 0 ? h.now : Time{})},
           ListKind::kDelta);
  };
  for (const std::string& n : names) set_state(n, EndpointState::kReady);
  for (int step = 0; step < 1500; ++step) {
    h.now += milliseconds(4);
    if (step % 5 == 0 && std::exchange(h.timer, false)) h.pass(TimerExpired{0});
    std::vector<std::string> out;
    for (const auto& [id, at] : h.out) {
      if (!at.empty()) out.push_back(id);
    }
    audit();
    const int what = upto(20);
    if (what < 5) {
      const std::string id = "q" + std::to_string(asked++);
      cls[id] = classes[static_cast<std::size_t>(upto(4))];
      Request r = h.make(id, cls[id], 1 + upto(9), upto(4), 500 + upto(3000), 300);
      r.client_deadline = h.now + milliseconds(200 + upto(3000));
      deadline[id] = r.client_deadline;
      h.pass(r);
    } else if (what < 7) {
      set_state(names[static_cast<std::size_t>(upto(7))], upto(3) == 0   ? EndpointState::kRemoved
                                                          : upto(3) == 0 ? EndpointState::kDraining
                                                                         : EndpointState::kReady);
    }
    audit();
    for (const std::string& id : out) {
      audit();
      const bool overdue = h.now >= deadline[id] && !deadline.empty();
      if (!overdue && upto(12) != 0) continue;
      const bool reader = h.out[id].starts_with("r");
      idle[id] = h.now;
      if (h.ended[id]) {
        h.end(id, reader && upto(2) == 0 ? AttemptStatus::kRead : AttemptStatus::kCancelled);
        continue;
      }
      static constexpr AttemptStatus kBad[] = {AttemptStatus::kError, AttemptStatus::kFull,
                                               AttemptStatus::kConnectFailed, AttemptStatus::kReset};
      const AttemptStatus bad = overdue ? AttemptStatus::kTimeout : kBad[upto(4)];
      const bool cancelled = std::find(h.cancelled.begin(), h.cancelled.end(), id) != h.cancelled.end();
      if (overdue || upto(3) == 0) {
        const bool proof = bad == AttemptStatus::kFull || bad == AttemptStatus::kConnectFailed;
        if (!reader && !proof) ran[id] = true;
        const bool is_state_lost = bad == AttemptStatus::kFull && !reader && upto(2) == 0;
        if (is_state_lost || (!reader && bad != AttemptStatus::kFull && upto(2) == 0)) h.held[id] = false;
        h.end(id, bad, is_state_lost ? AttemptEvidence::kStateNotFound : AttemptEvidence::kNone);
      } else if (reader) {
        const int cached_tokens = upto(500);
        if (cancelled) {
          h.end(id, AttemptStatus::kCancelled);
        } else {
          h.end_read(id, cached_tokens);
        }
      } else if (upto(6) == 0 && !cancelled) {
        h.ended[id] = true;
        h.held[id] = false;
        h.pass(ClientGone{id});
      } else {
        deadline.erase(id);
        h.first(id);
        h.end(id, AttemptStatus::kServed);
      }
    }
    audit();
    if (::testing::Test::HasFailure()) FAIL() << "step " << step << " of seed " << GetParam();
  }
  EXPECT_GT(h.sends.size(), 100U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Sequences, ::testing::Range(1, 25));

}  // namespace
}  // namespace dispatcher::routing::testing
