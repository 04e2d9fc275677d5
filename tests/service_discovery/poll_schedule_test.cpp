// Tests in virtual time when PollSchedule calls service discovery.
#include "service_discovery/poll_schedule.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <tuple>

#include "service_discovery/poll_timing.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using service_discovery::ListDelivery;
using service_discovery::PollSchedule;
using CallId = PollSchedule::CallId;

// The outcome of a call. All but kAnswer are failures.
enum class CallOutcome {
  kAnswer,
  kSilent,
  kRejectLate,
  kRejectNow,
  kReset,
  kResetLate,
  kNeverConnected,
  kUnreadable,
  kStall
};
constexpr std::array kFailures{
    CallOutcome::kSilent,    CallOutcome::kRejectLate,     CallOutcome::kRejectNow,  CallOutcome::kReset,
    CallOutcome::kResetLate, CallOutcome::kNeverConnected, CallOutcome::kUnreadable, CallOutcome::kStall};

// Simulates an outage of service discovery from `outage_at_` to `recovery_at_`, and the schedule of one
// dispatcher. The calls during the outage have either one common outcome or mixed ones. Calls that are opened
// after the recovery are answered, each after a random delay. Calls that are still open from before are
// answered at once, never, or reset.
class Outage {
 public:
  // `max_response_delay` is the longest time to a response after the recovery. The first `calls_to_lose`
  // calls that are opened after the recovery never connect.
  Outage(ListDelivery delivery, int dispatcher_count, std::uint64_t seed, engine::Duration max_response_delay,
         int calls_to_lose)
      : delivery_(delivery),
        max_response_delay_(max_response_delay),
        calls_to_lose_(calls_to_lose),
        random_(seed),
        schedule_(delivery, dispatcher_count) {}

  engine::Duration known_after{};  // since the recovery, or since a later rejection
  std::vector<engine::Time> opened;
  std::size_t max_calls = 0;
  engine::Duration longest_gap{};  // the longest time without an open call, except after a rejection

  void run() {
    const engine::Time start = seconds(100);
    outage_at_ = start + milliseconds(random_() % 4000);
    recovery_at_ = outage_at_ + milliseconds(random_() % 14000);
    has_mixed_outcomes_ = random_() % 2 == 0;
    common_outcome_ = kFailures[random_() % kFailures.size()];
    watch_goes_silent_ = random_() % 2 == 0;
    answers_old_calls_ = delivery_ == ListDelivery::kPush && random_() % 2 == 0;
    execute(schedule_.restart(start), start);
    for (engine::Time now = start; !is_change_known_;) {
      REQUIRE(now < recovery_at_ + seconds(30));
      now = step(now);
    }
  }

 private:
  enum class EventKind { kHead, kWatchByte, kPartialObject, kRejected, kFailed, kUnreadable };
  struct Event {
    engine::Time at;
    CallId id;
    EventKind kind;
    bool operator>(const Event& other) const { return at > other.at; }
  };
  ListDelivery delivery_;
  engine::Duration max_response_delay_;
  int calls_to_lose_;
  std::mt19937_64 random_;
  PollSchedule schedule_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<CallId, CallOutcome> calls_;
  engine::Time recovery_at_{};
  engine::Time outage_at_{};
  engine::Time no_call_since_{};
  CallOutcome common_outcome_{};
  bool has_mixed_outcomes_ = false;
  bool watch_goes_silent_ = false;
  bool answers_old_calls_ = false;
  bool is_change_known_ = false;
  bool is_after_rejection_ = false;

  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  engine::Time step(engine::Time now) {
    const auto next = schedule_.next_deadline();
    REQUIRE(next);
    if (!events_.empty() && events_.top().at <= *next) {
      const Event event = events_.top();
      events_.pop();
      now = std::max(now, event.at);
      if (calls_.contains(event.id)) handle(event, now);
    } else {
      REQUIRE(*next >= now);
      now = *next;
      execute(schedule_.on_timer(now, draw()), now);
    }
    return now;
  }
  void handle(const Event& event, engine::Time now) {
    switch (event.kind) {
      case EventKind::kHead:
        execute(schedule_.on_answered(event.id, now), now);
        if (calls_[event.id] == CallOutcome::kAnswer && now >= recovery_at_) return on_change_known(now);
        return schedule_.on_data_received(event.id, now, std::nullopt);
      case EventKind::kWatchByte:
        return on_watch_byte(event.id, now);
      case EventKind::kPartialObject:
        return schedule_.on_data_received(event.id, now, now);
      case EventKind::kRejected:
        recovery_at_ = std::max(recovery_at_, now);
        is_after_rejection_ = true;
        return execute(schedule_.on_rejected(event.id, now, draw()), now);
      case EventKind::kFailed:
        return execute(schedule_.on_failed(event.id, now, draw()), now);
      case EventKind::kUnreadable:
        return execute(schedule_.on_unreadable(event.id, now, draw()), now);
    }
  }
  // Handles the watch from before the outage: an empty line every 2 s, then silence or a reset.
  void on_watch_byte(CallId id, engine::Time now) {
    if (now >= outage_at_) {
      if (!watch_goes_silent_) execute(schedule_.on_failed(id, now, draw()), now);
      return;
    }
    schedule_.on_data_received(id, now, std::nullopt);
    events_.push({now + seconds(2), id, EventKind::kWatchByte});
  }
  void on_change_known(engine::Time now) {
    is_change_known_ = true;
    known_after = now - recovery_at_;
  }
  void execute(const PollSchedule::Actions& actions, engine::Time now) {
    for (const CallId id : actions.close) calls_.erase(id);
    if (actions.open != 0) open(actions.open, now);
    if (calls_.empty()) {
      if (actions.close.empty()) return;
      no_call_since_ = now;
    }
    max_calls = std::max(max_calls, calls_.size());
  }
  void open(CallId id, engine::Time now) {
    opened.push_back(now);
    if (calls_.empty() && no_call_since_ != engine::Time{} && !is_after_rejection_)
      longest_gap = std::max(longest_gap, now - no_call_since_);
    is_after_rejection_ = false;
    calls_[id] = CallOutcome::kAnswer;
    if (now < outage_at_) {  // the watch before the outage
      events_.push({now, id, EventKind::kHead});
      events_.push({now + milliseconds(1), id, EventKind::kWatchByte});
    } else if (now >= recovery_at_) {
      if (calls_to_lose_-- > 0) {
        calls_[id] = CallOutcome::kNeverConnected;
        return;
      }
      events_.push(
          {now + engine::Duration(std::llround(draw() * static_cast<double>(max_response_delay_.count()))),
           id, EventKind::kHead});
    } else {
      fail_call(id, now, has_mixed_outcomes_ ? kFailures[random_() % kFailures.size()] : common_outcome_);
    }
  }
  void fail_call(CallId id, engine::Time now, CallOutcome outcome) {
    calls_[id] = outcome;
    const auto later = [&](int ms, EventKind kind) { events_.push({now + milliseconds(ms), id, kind}); };
    switch (outcome) {
      case CallOutcome::kSilent:  // answered when discovery recovers, or never
        if (!answers_old_calls_) return;
        calls_[id] = CallOutcome::kAnswer;
        return events_.push({recovery_at_, id, EventKind::kHead});
      case CallOutcome::kRejectLate:
        return later(2000, EventKind::kRejected);
      case CallOutcome::kRejectNow:
        return later(1, EventKind::kRejected);
      case CallOutcome::kReset:
        return later(0, EventKind::kFailed);
      case CallOutcome::kResetLate:
        if (now + milliseconds(700) < recovery_at_) later(700, EventKind::kFailed);
        return;
      case CallOutcome::kUnreadable:
        later(0, EventKind::kHead);
        return later(1, EventKind::kUnreadable);
      case CallOutcome::kStall:
        later(0, EventKind::kHead);
        return later(1, EventKind::kPartialObject);
      case CallOutcome::kNeverConnected:
      case CallOutcome::kAnswer:
        return;
    }
  }
};

template <class Check>
void over_outages(ListDelivery delivery, engine::Duration max_response_delay, int calls_to_lose,
                  Check check) {
  for (const int dispatcher_count : {1, 3, 100, 300}) {
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
      Outage outage{delivery, dispatcher_count, seed, max_response_delay, calls_to_lose};
      outage.run();
      CAPTURE(dispatcher_count, seed);
      check(outage, dispatcher_count);
    }
  }
}

TEST_CASE("push: a change is known within 6 s after any outage", "[discovery][plan]") {
  engine::Duration worst{};
  over_outages(ListDelivery::kPush, milliseconds(2100), 0, [&](const Outage& outage, int) {
    worst = std::max(worst, outage.known_after);
    REQUIRE(outage.known_after < seconds(6) - service_discovery::kSchedulingMargin);
    REQUIRE(outage.max_calls <= 2);
    REQUIRE(outage.longest_gap <= milliseconds(250));
  });
  CHECK(worst > milliseconds(3000));  // checks that the random outages include long ones
}

TEST_CASE("push: a change is known within 6 s even if the first call after an outage is lost",
          "[discovery][plan]") {
  over_outages(ListDelivery::kPush, milliseconds(50), 1, [&](const Outage& outage, int) {
    REQUIRE(outage.known_after < seconds(6) - service_discovery::kSchedulingMargin);
  });
}

TEST_CASE("poll: a change is known within 6 s after any outage", "[discovery][plan]") {
  engine::Duration worst{};
  over_outages(ListDelivery::kPoll, milliseconds(2100), 0, [&](const Outage& outage, int dispatcher_count) {
    worst = std::max(worst, outage.known_after);
    REQUIRE(outage.known_after < seconds(6) - service_discovery::kSchedulingMargin);
    REQUIRE(outage.max_calls <= 1);
    // Each further call follows a pause that depends on the fleet's size.
    for (std::size_t i = 1; i < outage.opened.size(); ++i)
      REQUIRE(outage.opened[i] - outage.opened[i - 1] >=
              service_discovery::silence_backoff(dispatcher_count).initial / 2);
  });
  CHECK(worst > milliseconds(4000));
}

TEST_CASE("push: calls that fail at once are followed by a growing backoff of up to 250 ms",
          "[discovery][plan]") {
  for (const bool unreadable : {false, true}) {
    PollSchedule schedule(ListDelivery::kPush, 300);
    std::mt19937_64 random(5);
    std::uniform_real_distribution<double> draw(0, 1);
    engine::Time now = seconds(50);
    CallId id = schedule.restart(now).open;
    std::vector<engine::Duration> pauses;
    while (pauses.size() < 50) {
      const auto failed = now;
      if (unreadable) std::ignore = schedule.on_answered(id, now);
      const auto actions = unreadable ? schedule.on_unreadable(id, now, draw(random))
                                      : schedule.on_failed(id, now, draw(random));
      CHECK(actions.needs_complete_list == unreadable);
      now = *schedule.next_deadline();
      id = schedule.on_timer(now, draw(random)).open;
      REQUIRE(id != 0);
      pauses.push_back(now - failed);
    }
    CHECK(pauses[0] <= milliseconds(5));
    CHECK(pauses[1] >= milliseconds(20));
    CHECK(pauses[1] <= milliseconds(40));
    for (std::size_t i = 5; i < pauses.size(); ++i) {
      REQUIRE(pauses[i] >= milliseconds(125));
      REQUIRE(pauses[i] <= milliseconds(250));
    }
    // After a call that was open for longer, the backoff starts again with a short pause.
    std::ignore = schedule.on_answered(id, now);
    now += milliseconds(1500);
    std::ignore = schedule.on_failed(id, now, 0.5);
    CHECK(*schedule.next_deadline() - now <= milliseconds(5));
  }
}

TEST_CASE("push: a second call is opened beside an unanswered one, and a third replaces the older of the two",
          "[discovery][plan]") {
  PollSchedule schedule(ListDelivery::kPush, 300);
  const engine::Time start = seconds(50);
  const CallId first = schedule.restart(start).open;
  REQUIRE(schedule.next_deadline() == start + service_discovery::kCallTimeout);
  CHECK(schedule.on_timer(start + service_discovery::kCallTimeout - milliseconds(1), 0.5).open == 0);
  auto actions = schedule.on_timer(*schedule.next_deadline(), 0.5);
  const CallId second = actions.open;
  CHECK(second != 0);
  CHECK(actions.close.empty());
  CHECK(actions.has_timed_out);
  REQUIRE(schedule.next_deadline() == start + 2 * service_discovery::kCallTimeout);
  actions = schedule.on_timer(*schedule.next_deadline(), 0.5);
  CHECK(actions.close == std::vector<CallId>{first});
  const CallId third = actions.open;
  actions = schedule.on_answered(second, start + seconds(5));
  CHECK(actions.close == std::vector<CallId>{third});
  CHECK(schedule.open_calls() == 1);
  CHECK(schedule.next_deadline() == start + seconds(5) + service_discovery::kWatchTimeout);
}

TEST_CASE(
    "push: a second call is opened beside a silent watch, which may deliver until that call is answered",
    "[discovery][plan]") {
  PollSchedule schedule(ListDelivery::kPush, 300);
  const engine::Time start = seconds(50);
  const CallId watch = schedule.restart(start).open;
  std::ignore = schedule.on_answered(watch, start);
  REQUIRE(schedule.next_deadline() == start + service_discovery::kWatchTimeout);
  const auto joined = schedule.on_timer(*schedule.next_deadline(), 0.9);
  CHECK(joined.close.empty());
  REQUIRE(joined.open != 0);
  const engine::Time later = start + seconds(3);
  CHECK(schedule.on_answered(watch, later).close.empty());  // as for any data on the watch
  schedule.on_data_received(watch, later, std::nullopt);
  CHECK(schedule.open_calls() == 2);
  CHECK(schedule.on_answered(joined.open, later).close == std::vector<CallId>{watch});
}

TEST_CASE(
    "push: the backoff after a rejection depends on the fleet's size and is not shortened by other events",
    "[discovery][plan]") {
  for (const int dispatcher_count : {1, 300}) {
    PollSchedule schedule(ListDelivery::kPush, dispatcher_count);
    engine::Time now = seconds(50);
    const CallId first = schedule.restart(now).open;
    now += service_discovery::kCallTimeout;
    const CallId second = schedule.on_timer(now, 0).open;
    CHECK(schedule.on_rejected(second, now, 1).open == 0);
    CHECK(schedule.on_failed(first, now, 0).open == 0);
    CHECK(schedule.next_deadline() == now + service_discovery::rejection_backoff(dispatcher_count).initial);
    CHECK(schedule.on_timer(now + milliseconds(100), 0).open == 0);
    CHECK(schedule.on_timer(*schedule.next_deadline(), 0).open != 0);
  }
}

// Discovery rejects each call after 2 s and recovers close to the end of a pause.
TEST_CASE(
    "a change is known in time if discovery recovers just before, at or just after the end of a backoff",
    "[discovery][plan]") {
  for (const ListDelivery delivery : {ListDelivery::kPush, ListDelivery::kPoll}) {
    for (const int rejections : {1, 2, 3, 8}) {
      for (const engine::Duration off : {milliseconds(-1), milliseconds(0), milliseconds(1)}) {
        PollSchedule schedule(delivery, 300);
        engine::Time now = seconds(50);
        engine::Duration pause{};
        CallId id = schedule.restart(now).open;
        for (int i = 0; i < rejections; ++i) {
          now += service_discovery::kOverloadedResponseDelay;
          std::ignore = schedule.on_rejected(id, now, 1.0);
          pause = *schedule.next_deadline() - now;
          now = *schedule.next_deadline();
          id = schedule.on_timer(now, 1.0).open;
          REQUIRE(id != 0);
        }
        CHECK(pause <= service_discovery::kMaxRejectionPause);
        // If discovery recovers after the end of the pause, it never got this call, which stays silent.
        const engine::Time back = now + off;
        if (off > engine::Duration(0)) {
          for (id = 0; id == 0;) {
            REQUIRE(schedule.next_deadline());
            now = *schedule.next_deadline();
            id = schedule.on_timer(now, 1.0).open;
          }
        }
        CHECK(now + milliseconds(2100) - back < seconds(6) - service_discovery::kSchedulingMargin);
      }
    }
  }
}

TEST_CASE("an object that stalls closes its call, and the complete list is requested", "[discovery][plan]") {
  for (const ListDelivery delivery : {ListDelivery::kPush, ListDelivery::kPoll}) {
    PollSchedule schedule(delivery, 3);
    const engine::Time start = seconds(50);
    engine::Time now = start;
    const CallId watch = schedule.restart(now).open;
    std::ignore = schedule.on_answered(watch, now);
    for (; now < start + service_discovery::kObjectTimeout;
         now += milliseconds(100)) {  // it still receives data
      REQUIRE(*schedule.next_deadline() > now);
      schedule.on_data_received(watch, now, start);
    }
    REQUIRE(schedule.next_deadline() == start + service_discovery::kObjectTimeout);
    const auto actions = schedule.on_timer(*schedule.next_deadline(), 0.5);
    CHECK(actions.needs_complete_list);
    CHECK(actions.close == std::vector<CallId>{watch});
    REQUIRE(schedule.next_deadline());
    CHECK(schedule.on_timer(*schedule.next_deadline(), 0.5).open != 0);
  }
}

TEST_CASE("a change of address opens a call during any backoff, and a second one within 4 s if it is silent",
          "[discovery][plan]") {
  for (const ListDelivery delivery : {ListDelivery::kPush, ListDelivery::kPoll}) {
    PollSchedule schedule(delivery, 300);
    engine::Time now = seconds(50);
    CallId id = schedule.restart(now).open;
    for (int i = 0; i < 5; ++i) {
      std::ignore = schedule.on_rejected(id, now, 0.99);
      now = *schedule.next_deadline();
      id = schedule.on_timer(now, 0.99).open;
    }
    std::ignore = schedule.on_rejected(id, now, 0.99);
    const engine::Time moved = now + milliseconds(1);
    REQUIRE(schedule.restart_at_new_address(moved).open != 0);  // this call stays silent
    CallId next = 0;
    while (next == 0) {
      REQUIRE(schedule.next_deadline());
      now = *schedule.next_deadline();
      next = schedule.on_timer(now, 0.999).open;
    }
    CHECK(now - moved + service_discovery::kSchedulingMargin < seconds(4));
  }
}

}  // namespace
}  // namespace dispatcher::testing
