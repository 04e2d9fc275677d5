// PollSchedule in virtual time: when service discovery is called.
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

// How a call ends. All but kAnswer are outages.
enum class CallOutcome {
  kAnswer,
  kSilent,
  kRejectLate,
  kRejectNow,
  kReset,
  kResetLate,
  kNeverUp,
  kUnreadable,
  kStall
};
constexpr std::array kOutages{CallOutcome::kSilent,     CallOutcome::kRejectLate, CallOutcome::kRejectNow,
                              CallOutcome::kReset,      CallOutcome::kResetLate,  CallOutcome::kNeverUp,
                              CallOutcome::kUnreadable, CallOutcome::kStall};

// A discovery with an outage until `back`, and one dispatcher's schedule that meets it. Outages follow one
// another or come mixed. From `back` on all calls opened are answered, each after its own time, and what had
// been left open from before is answered at once, never, or reset.
class Outage {
 public:
  // `slowest` answer once discovery is back; so many calls opened after the return never come up.
  Outage(ListDelivery lists, int fleet, std::uint64_t seed, engine::Duration slowest, int lose)
      : lists_(lists), slowest_(slowest), lose_(lose), random_(seed), schedule_(lists, fleet) {}

  engine::Duration known_after{};  // the return, or the last refusal that came later
  std::vector<engine::Time> opened;
  std::size_t max_calls = 0;
  engine::Duration longest_gap{};  // with no call out, and without a refusal before it

  void run() {
    const engine::Time start = seconds(100);
    outage_ = start + milliseconds(random_() % 4000);
    back_ = outage_ + milliseconds(random_() % 14000);
    mixed_ = random_() % 2 == 0;
    same_ = kOutages[random_() % kOutages.size()];
    watch_dies_ = random_() % 2 == 0;
    old_answer_at_return_ = lists_ == ListDelivery::kPush && random_() % 2 == 0;
    execute(schedule_.restart(start), start);
    for (engine::Time now = start; !known_;) {
      REQUIRE(now < back_ + seconds(30));
      now = step(now);
    }
  }

 private:
  enum class EventKind { kHead, kByte, kHalf, kRejected, kFailed, kUnreadable };
  struct Event {
    engine::Time at;
    CallId id;
    EventKind kind;
    bool operator>(const Event& other) const { return at > other.at; }
  };
  ListDelivery lists_;
  engine::Duration slowest_;
  int lose_;
  std::mt19937_64 random_;
  PollSchedule schedule_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<CallId, CallOutcome> calls_;
  engine::Time back_{};
  engine::Time outage_{};
  engine::Time empty_since_{};
  CallOutcome same_{};
  bool mixed_ = false;
  bool watch_dies_ = false;
  bool old_answer_at_return_ = false;
  bool known_ = false;
  bool after_refusal_ = false;

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
        if (calls_[event.id] == CallOutcome::kAnswer && now >= back_) return on_change_known(now);
        return schedule_.on_data_received(event.id, now, std::nullopt);
      case EventKind::kByte:
        return on_watch_byte(event.id, now);
      case EventKind::kHalf:
        return schedule_.on_data_received(event.id, now, now);
      case EventKind::kRejected:
        back_ = std::max(back_, now);
        after_refusal_ = true;
        return execute(schedule_.on_rejected(event.id, now, draw()), now);
      case EventKind::kFailed:
        return execute(schedule_.on_failed(event.id, now, draw()), now);
      case EventKind::kUnreadable:
        return execute(schedule_.on_unreadable(event.id, now, draw()), now);
    }
  }
  // The watch from before the outage: an empty line every 2 s, then nothing or a reset.
  void on_watch_byte(CallId id, engine::Time now) {
    if (now >= outage_) {
      if (!watch_dies_) execute(schedule_.on_failed(id, now, draw()), now);
      return;
    }
    schedule_.on_data_received(id, now, std::nullopt);
    events_.push({now + seconds(2), id, EventKind::kByte});
  }
  void on_change_known(engine::Time now) {
    known_ = true;
    known_after = now - back_;
  }
  void execute(const PollSchedule::Actions& actions, engine::Time now) {
    for (const CallId id : actions.close) calls_.erase(id);
    if (actions.open != 0) open(actions.open, now);
    if (calls_.empty()) {
      if (actions.close.empty()) return;
      empty_since_ = now;
    }
    max_calls = std::max(max_calls, calls_.size());
  }
  void open(CallId id, engine::Time now) {
    opened.push_back(now);
    if (calls_.empty() && empty_since_ != engine::Time{} && !after_refusal_)
      longest_gap = std::max(longest_gap, now - empty_since_);
    after_refusal_ = false;
    calls_[id] = CallOutcome::kAnswer;
    if (now < outage_) {  // the watch of calm times
      events_.push({now, id, EventKind::kHead});
      events_.push({now + milliseconds(1), id, EventKind::kByte});
    } else if (now >= back_) {
      if (lose_-- > 0) {
        calls_[id] = CallOutcome::kNeverUp;
        return;
      }
      events_.push({now + engine::Duration(std::llround(draw() * static_cast<double>(slowest_.count()))), id,
                    EventKind::kHead});
    } else {
      fail_call(id, now, mixed_ ? kOutages[random_() % kOutages.size()] : same_);
    }
  }
  void fail_call(CallId id, engine::Time now, CallOutcome outcome) {
    calls_[id] = outcome;
    const auto later = [&](int ms, EventKind kind) { events_.push({now + milliseconds(ms), id, kind}); };
    switch (outcome) {
      case CallOutcome::kSilent:  // answered when discovery is back, or never
        if (!old_answer_at_return_) return;
        calls_[id] = CallOutcome::kAnswer;
        return events_.push({back_, id, EventKind::kHead});
      case CallOutcome::kRejectLate:
        return later(2000, EventKind::kRejected);
      case CallOutcome::kRejectNow:
        return later(1, EventKind::kRejected);
      case CallOutcome::kReset:
        return later(0, EventKind::kFailed);
      case CallOutcome::kResetLate:
        if (now + milliseconds(700) < back_) later(700, EventKind::kFailed);
        return;
      case CallOutcome::kUnreadable:
        later(0, EventKind::kHead);
        return later(1, EventKind::kUnreadable);
      case CallOutcome::kStall:
        later(0, EventKind::kHead);
        return later(1, EventKind::kHalf);
      case CallOutcome::kNeverUp:
      case CallOutcome::kAnswer:
        return;
    }
  }
};

template <class Check>
void over_outages(ListDelivery lists, engine::Duration slowest, int lose, Check check) {
  for (const int fleet : {1, 3, 100, 300}) {
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
      Outage outage{lists, fleet, seed, slowest, lose};
      outage.run();
      CAPTURE(fleet, seed);
      check(outage, fleet);
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
  CHECK(worst > milliseconds(3000));  // the outages drawn do reach the edges
}

TEST_CASE("push: a change is known within 6 s though the first call is lost", "[discovery][plan]") {
  over_outages(ListDelivery::kPush, milliseconds(50), 1, [&](const Outage& outage, int) {
    REQUIRE(outage.known_after < seconds(6) - service_discovery::kSchedulingMargin);
  });
}

TEST_CASE("poll: a change is known within 6 s after any outage", "[discovery][plan]") {
  engine::Duration worst{};
  over_outages(ListDelivery::kPoll, milliseconds(2100), 0, [&](const Outage& outage, int fleet) {
    worst = std::max(worst, outage.known_after);
    REQUIRE(outage.known_after < seconds(6) - service_discovery::kSchedulingMargin);
    REQUIRE(outage.max_calls <= 1);
    // Each further call comes after a pause by the fleet's size.
    for (std::size_t i = 1; i < outage.opened.size(); ++i)
      REQUIRE(outage.opened[i] - outage.opened[i - 1] >=
              service_discovery::silence_backoff(fleet).initial / 2);
  });
  CHECK(worst > milliseconds(4000));
}

TEST_CASE("push: calls that fail at once get a growing backoff, up to 250 ms", "[discovery][plan]") {
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
    // One that lived starts again from nearly nothing.
    std::ignore = schedule.on_answered(id, now);
    now += milliseconds(1500);
    std::ignore = schedule.on_failed(id, now, 0.5);
    CHECK(*schedule.next_deadline() - now <= milliseconds(5));
  }
}

TEST_CASE("push: an unanswered call gets a second one beside it, and the older of two is closed for a third",
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

TEST_CASE("push: a silent watch gets a second call and may still deliver until that one answers",
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
  CHECK(schedule.on_answered(watch, later).close.empty());  // as with any byte of it
  schedule.on_data_received(watch, later, std::nullopt);
  CHECK(schedule.open_calls() == 2);
  CHECK(schedule.on_answered(joined.open, later).close == std::vector<CallId>{watch});
}

TEST_CASE("push: after a rejection there is a backoff by the fleet's size, whatever happens during it",
          "[discovery][plan]") {
  for (const int fleet : {1, 300}) {
    PollSchedule schedule(ListDelivery::kPush, fleet);
    engine::Time now = seconds(50);
    const CallId first = schedule.restart(now).open;
    now += service_discovery::kCallTimeout;
    const CallId second = schedule.on_timer(now, 0).open;
    CHECK(schedule.on_rejected(second, now, 1).open == 0);
    CHECK(schedule.on_failed(first, now, 0).open == 0);
    CHECK(schedule.next_deadline() == now + service_discovery::rejection_backoff(fleet).initial);
    CHECK(schedule.on_timer(now + milliseconds(100), 0).open == 0);
    CHECK(schedule.on_timer(*schedule.next_deadline(), 0).open != 0);
  }
}

// An outage of refusals, each after 2 s, that ends round the end of one of our pauses.
TEST_CASE("discovery that returns just before, at and just after the end of a backoff is read in time",
          "[discovery][plan]") {
  for (const ListDelivery lists : {ListDelivery::kPush, ListDelivery::kPoll}) {
    for (const int refusals : {1, 2, 3, 8}) {
      for (const engine::Duration off : {milliseconds(-1), milliseconds(0), milliseconds(1)}) {
        PollSchedule schedule(lists, 300);
        engine::Time now = seconds(50);
        engine::Duration pause{};
        CallId id = schedule.restart(now).open;
        for (int i = 0; i < refusals; ++i) {
          now += service_discovery::kOverloadedResponseDelay;
          std::ignore = schedule.on_rejected(id, now, 1.0);
          pause = *schedule.next_deadline() - now;
          now = *schedule.next_deadline();
          id = schedule.on_timer(now, 1.0).open;
          REQUIRE(id != 0);
        }
        CHECK(pause <= service_discovery::kMaxRejectionPause);
        // Back after the pause's end, discovery knows nothing of the call, which stays silent.
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

TEST_CASE("an object that stalls ends its call, and the complete list is requested", "[discovery][plan]") {
  for (const ListDelivery lists : {ListDelivery::kPush, ListDelivery::kPoll}) {
    PollSchedule schedule(lists, 3);
    const engine::Time start = seconds(50);
    engine::Time now = start;
    const CallId watch = schedule.restart(now).open;
    std::ignore = schedule.on_answered(watch, now);
    for (; now < start + service_discovery::kObjectTimeout; now += milliseconds(100)) {  // it trickles
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

TEST_CASE("a change of address opens a call despite any backoff, and a silent first call costs under 4 s",
          "[discovery][plan]") {
  for (const ListDelivery lists : {ListDelivery::kPush, ListDelivery::kPoll}) {
    PollSchedule schedule(lists, 300);
    engine::Time now = seconds(50);
    CallId id = schedule.restart(now).open;
    for (int i = 0; i < 5; ++i) {
      std::ignore = schedule.on_rejected(id, now, 0.99);
      now = *schedule.next_deadline();
      id = schedule.on_timer(now, 0.99).open;
    }
    std::ignore = schedule.on_rejected(id, now, 0.99);
    const engine::Time moved = now + milliseconds(1);
    REQUIRE(schedule.restart_at_new_address(moved).open != 0);  // this one stays silent
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
