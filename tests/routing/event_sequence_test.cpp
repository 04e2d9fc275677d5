// Plays seeded random sequences of valid events and checks the invariants on time limits and on repeated
// effects. The speed of endpoints is not modelled. RouterHarness checks each action by itself; this test adds
// the checks that depend on the time and on which attempts may have run.
#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

// The sequence of a seed depends on the order of the draws: a different order plays different sequences.
class EventSequence : public ::testing::TestWithParam<int> {
 protected:
  EventSequence()
      : random_(static_cast<unsigned>(GetParam())), settings_(draw_settings()), harness_(settings_) {
    for (const char* name : kEndpoints) change_endpoint(name, EndpointState::kReady);
  }

  // Runs one tick. It may submit a request or change an endpoint, and it ends some of the attempts.
  void run_step(int step) {
    harness_.skip(milliseconds(4));
    if (step % 5 == 0) harness_.expire_timer();
    const std::vector<RequestId> active = active_requests();
    check_invariants();
    const int kind = below(20);
    if (kind < 5) {
      submit();
    } else if (kind < 7) {
      const EndpointState state = draw_state();
      change_endpoint(kEndpoints[static_cast<std::size_t>(below(7))], state);
    }
    check_invariants();
    for (const RequestId& id : active) {
      check_invariants();
      if (is_overdue(id) || below(12) == 0) progress(id);
    }
    check_invariants();
  }

  [[nodiscard]] std::size_t attempt_count() const { return harness_.started().size(); }

 private:
  struct Expectation {
    std::string request_class;
    Time deadline{};
    Time idle_since{};          // when its last attempt ended
    bool may_have_run = false;  // at a writer or mixed endpoint, and nothing proves that it did not run
  };

  static constexpr std::array<const char*, 7> kEndpoints = {"r1", "r2", "r3", "w1", "w2", "w3", "m1"};
  static constexpr std::array<const char*, 4> kClasses = {"safe", "unsafe", "keyed", "keyed-all"};
  static constexpr std::array<AttemptStatus, 4> kFailures = {
      AttemptStatus::kError, AttemptStatus::kFull, AttemptStatus::kConnectFailed, AttemptStatus::kReset};

  int below(int bound) { return static_cast<int>(random_() % static_cast<unsigned>(bound)); }

  Settings draw_settings() {
    Settings settings = make_settings();
    settings.max_attempts = 2 + below(5);
    settings.may_cancel = below(3) != 0;
    settings.writers_can_prefill = below(4) == 0;
    return settings;
  }

  EndpointState draw_state() {
    if (below(3) == 0) return EndpointState::kRemoved;
    if (below(3) == 0) return EndpointState::kDraining;
    return EndpointState::kReady;
  }

  // Lists the endpoint in this state. The digit in its name is its cell, 1 to 3; cell 3 is in another zone.
  void change_endpoint(const std::string& name, EndpointState state) {
    states_[name] = state;
    const int cell = name[1] - '0';
    const bool is_restarted = below(3) == 0;
    const EndpointSpec spec{.cell = cell,
                            .zone = cell == 3 ? "west" : "east",
                            .state = state,
                            .started = is_restarted ? harness_.now() : Time{}};
    harness_.update_endpoints({make_endpoint(name, name.substr(0, 1), spec)}, ListKind::kDelta);
  }

  void submit() {
    const RequestId id = "q" + std::to_string(submitted_);
    ++submitted_;
    RequestSpec spec;
    spec.request_class = kClasses[static_cast<std::size_t>(below(4))];
    spec.prompt_tokens = 500 + below(3000);
    spec.shared_prefix = below(4);
    spec.session = 1 + below(9);
    spec.prefix_tokens = 300;
    Request request = harness_.make_request(id, spec);
    request.client_deadline = harness_.now() + milliseconds(200 + below(3000));
    expectations_[id] = {spec.request_class, request.client_deadline};
    harness_.submit(request);
  }

  [[nodiscard]] std::vector<RequestId> active_requests() const {
    std::vector<RequestId> active;
    for (const auto& [id, request] : harness_.requests()) {
      if (!request.active_endpoint.empty()) active.push_back(id);
    }
    return active;
  }

  [[nodiscard]] bool is_overdue(const RequestId& id) const {
    return harness_.now() >= expectations_.at(id).deadline;
  }

  // Ends the request's attempt with a drawn result, or disconnects its client.
  void progress(const RequestId& id) {
    const bool is_at_reader = harness_.is_at(Role::kReader, id);
    expectations_[id].idle_since = harness_.now();
    if (harness_.request(id).is_over) {
      const bool is_read = is_at_reader && below(2) == 0;
      harness_.complete(id, is_read ? AttemptStatus::kRead : AttemptStatus::kCancelled);
      return;
    }
    const AttemptStatus failure = is_overdue(id) ? AttemptStatus::kTimeout : draw_failure();
    if (is_overdue(id) || below(3) == 0) {
      fail(id, failure);
    } else if (is_at_reader) {
      complete_read(id);
    } else {
      disconnect_or_serve(id);
    }
  }

  AttemptStatus draw_failure() { return kFailures[static_cast<std::size_t>(below(4))]; }

  void fail(const RequestId& id, AttemptStatus failure) {
    const bool is_at_reader = harness_.is_at(Role::kReader, id);
    const bool proves_no_effect = failure == AttemptStatus::kFull || failure == AttemptStatus::kConnectFailed;
    if (!is_at_reader && !proves_no_effect) expectations_[id].may_have_run = true;
    const bool is_state_lost = failure == AttemptStatus::kFull && !is_at_reader && below(2) == 0;
    if (is_state_lost || (!is_at_reader && failure != AttemptStatus::kFull && below(2) == 0))
      harness_.request(id).holds_prompt_state = false;
    harness_.complete(id, failure,
                      {.evidence = is_state_lost ? AttemptEvidence::kStateNotFound : AttemptEvidence::kNone});
  }

  void complete_read(const RequestId& id) {
    const int cached_tokens = below(500);
    if (is_cancelled(id)) {
      harness_.complete(id, AttemptStatus::kCancelled);
    } else {
      harness_.complete(id, AttemptStatus::kRead, {.cached_tokens = cached_tokens});
    }
  }

  void disconnect_or_serve(const RequestId& id) {
    if (below(6) == 0 && !is_cancelled(id)) {
      harness_.request(id).holds_prompt_state = false;
      harness_.disconnect_client(id);
    } else {
      harness_.send_first_token(id);
      harness_.complete(id, AttemptStatus::kServed);
    }
  }

  [[nodiscard]] bool is_cancelled(const RequestId& id) const {
    return std::ranges::find(harness_.cancelled(), id) != harness_.cancelled().end();
  }

  void check_invariants() {
    check_new_attempts();
    check_rejections();
    check_time_limits();
  }

  void check_new_attempts() {
    for (; checked_attempts_ < harness_.started().size(); ++checked_attempts_) {
      const StartAttempt& start = harness_.started()[checked_attempts_];
      const Expectation& expectation = expectations_.at(start.request);
      EXPECT_EQ(states_[start.endpoint], EndpointState::kReady)
          << "sent to an endpoint that is draining or removed";
      EXPECT_LE(harness_.request(start.request).attempt_count, settings_.max_attempts);
      if (expectation.request_class == "unsafe") {
        EXPECT_FALSE(expectation.may_have_run) << "sent again though it may have run";
      }
    }
  }

  void check_rejections() const {
    for (const RequestId& id : harness_.rejected()) {
      const Expectation& expectation = expectations_.at(id);
      if (expectation.request_class == "unsafe" || expectation.request_class == "keyed") {
        EXPECT_FALSE(expectation.may_have_run) << "rejected though it may have run";
      }
    }
  }

  void check_time_limits() const {
    for (const auto& [id, request] : harness_.requests()) {
      if (!request.active_endpoint.empty()) continue;
      const Expectation& expectation = expectations_.at(id);
      if (request.holds_prompt_state) {
        EXPECT_LE(harness_.now(), expectation.idle_since + settings_.reservation_limit)
            << "the prompt state is held too long";
      }
      if (!request.is_over) {
        EXPECT_LE(harness_.now(), expectation.deadline + settings_.answer_slack) << "no answer in time";
      }
    }
  }

  std::mt19937 random_;
  Settings settings_;
  RouterHarness harness_;
  std::map<EndpointId, EndpointState> states_;
  std::map<RequestId, Expectation> expectations_;
  std::size_t checked_attempts_ = 0;
  int submitted_ = 0;
};

TEST_P(EventSequence, InvariantsHold) {
  for (int step = 0; step < 1500; ++step) {
    run_step(step);
    if (::testing::Test::HasFailure()) FAIL() << "step " << step << " of seed " << GetParam();
  }
  EXPECT_GT(attempt_count(), 100U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, EventSequence, ::testing::Range(1, 25));

}  // namespace
}  // namespace dispatcher::routing::testing
