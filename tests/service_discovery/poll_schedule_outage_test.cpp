// Tests in virtual time how soon a list is known after any outage of service discovery.
#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <tuple>

#include "service_discovery/poll_schedule.hpp"
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

}  // namespace
}  // namespace dispatcher::testing
