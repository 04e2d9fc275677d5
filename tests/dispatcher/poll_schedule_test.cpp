// When discovery is called, in virtual time.
#include "service_discovery/poll_schedule.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include "fixture.hpp"
#include "service_discovery/backoff.hpp"

namespace dispatcher::testing {
namespace {

using service_discovery::Lists;
using service_discovery::PollSchedule;
using CallId = PollSchedule::CallId;

// What becomes of a call. All but kAnswer are outages.
enum class Fate {
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
constexpr std::array kOutages{Fate::kSilent,    Fate::kRejectLate, Fate::kRejectNow,  Fate::kReset,
                              Fate::kResetLate, Fate::kNeverUp,    Fate::kUnreadable, Fate::kStall};

// A discovery with an outage until `back`, and one dispatcher's plan that meets it. Outages follow one
// another or come mixed. From `back` on all calls opened are answered, each after its own time, and what had
// been left open from before is answered at once, never, or reset.
class Outage {
 public:
  // `slowest` answer once discovery is back; so many calls opened after the return never come up.
  Outage(Lists lists, int fleet, std::uint64_t seed, engine::Duration slowest, int lose)
      : lists_(lists), slowest_(slowest), lose_(lose), random_(seed), plan_(lists, fleet) {}

  engine::Duration known_after{};  // the return, or the last refusal that came later
  std::vector<engine::Time> opened;
  std::size_t max_calls = 0;
  engine::Duration longest_gap{};  // with no call out, and without a refusal before it

  void run() {
    const engine::Time start = seconds(100), outage = start + milliseconds(random_() % 4000);
    back_ = outage + milliseconds(random_() % 14000);
    mixed_ = random_() % 2 == 0;
    same_ = kOutages[random_() % kOutages.size()];
    watch_dies_ = random_() % 2 == 0;
    old_answer_at_return_ = lists_ == Lists::kPushed && random_() % 2 == 0;
    outage_ = outage;
    obey(plan_.restart(start), start);
    for (engine::Time now = start; !known_;) {
      REQUIRE(now < back_ + seconds(30));
      now = step(now);
    }
  }

 private:
  enum class What { kHead, kByte, kHalf, kRejected, kFailed, kUnreadable };
  struct Event {
    engine::Time at;
    CallId id;
    What what;
    bool operator>(const Event& other) const { return at > other.at; }
  };
  Lists lists_;
  engine::Duration slowest_;
  int lose_;
  std::mt19937_64 random_;
  PollSchedule plan_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<CallId, Fate> calls_;
  engine::Time back_{}, outage_{}, empty_since_{};
  Fate same_{};
  bool mixed_ = false, watch_dies_ = false, old_answer_at_return_ = false, known_ = false;
  bool after_refusal_ = false;

  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  engine::Time step(engine::Time now) {
    const auto next = plan_.next();
    REQUIRE(next);
    if (!events_.empty() && events_.top().at <= *next) {
      const Event event = events_.top();
      events_.pop();
      now = std::max(now, event.at);
      if (calls_.contains(event.id)) happen(event, now);
    } else {
      REQUIRE(*next >= now);
      now = *next;
      obey(plan_.tick(now, draw()), now);
    }
    return now;
  }
  void happen(const Event& event, engine::Time now) {
    switch (event.what) {
      case What::kHead:
        obey(plan_.answered(event.id, now), now);
        if (calls_[event.id] == Fate::kAnswer && now >= back_) return know(now);
        return plan_.heard(event.id, now, std::nullopt);
      case What::kByte:
        return byte(event.id, now);
      case What::kHalf:
        return plan_.heard(event.id, now, now);
      case What::kRejected:
        back_ = std::max(back_, now);
        after_refusal_ = true;
        return obey(plan_.rejected(event.id, now, draw()), now);
      case What::kFailed:
        return obey(plan_.failed(event.id, now, draw()), now);
      case What::kUnreadable:
        return obey(plan_.unreadable(event.id, now, draw()), now);
    }
  }
  // The watch from before the outage: an empty line every 2 s, then nothing or a reset.
  void byte(CallId id, engine::Time now) {
    if (now >= outage_) return watch_dies_ ? void() : obey(plan_.failed(id, now, draw()), now);
    plan_.heard(id, now, std::nullopt);
    events_.push({now + seconds(2), id, What::kByte});
  }
  void know(engine::Time now) {
    known_ = true;
    known_after = now - back_;
  }
  void obey(const PollSchedule::Orders& orders, engine::Time now) {
    for (const CallId id : orders.close) calls_.erase(id);
    if (orders.open != 0) open(orders.open, now);
    if (calls_.empty()) {
      if (orders.close.empty()) return;
      empty_since_ = now;
    }
    max_calls = std::max(max_calls, calls_.size());
  }
  void open(CallId id, engine::Time now) {
    opened.push_back(now);
    if (calls_.empty() && empty_since_ != engine::Time{} && !after_refusal_)
      longest_gap = std::max(longest_gap, now - empty_since_);
    after_refusal_ = false;
    calls_[id] = Fate::kAnswer;
    if (now < outage_) {  // the watch of calm times
      events_.push({now, id, What::kHead});
      events_.push({now + milliseconds(1), id, What::kByte});
    } else if (now >= back_) {
      if (lose_-- > 0) return void(calls_[id] = Fate::kNeverUp);
      events_.push({now + engine::Duration(std::llround(draw() * static_cast<double>(slowest_.count()))), id,
                    What::kHead});
    } else {
      suffer(id, now, mixed_ ? kOutages[random_() % kOutages.size()] : same_);
    }
  }
  void suffer(CallId id, engine::Time now, Fate fate) {
    calls_[id] = fate;
    const auto later = [&](int ms, What what) { events_.push({now + milliseconds(ms), id, what}); };
    switch (fate) {
      case Fate::kSilent:  // the agent accepts it and answers it when discovery is back, or is cut off for
                           // good
        if (!old_answer_at_return_) return;
        calls_[id] = Fate::kAnswer;
        return events_.push({back_, id, What::kHead});
      case Fate::kRejectLate:
        return later(2000, What::kRejected);
      case Fate::kRejectNow:
        return later(1, What::kRejected);
      case Fate::kReset:
        return later(0, What::kFailed);
      case Fate::kResetLate:
        return now + milliseconds(700) < back_ ? later(700, What::kFailed) : void();
      case Fate::kUnreadable:
        return later(0, What::kHead), later(1, What::kUnreadable);
      case Fate::kStall:
        return later(0, What::kHead), later(1, What::kHalf);
      case Fate::kNeverUp:
      case Fate::kAnswer:
        return;
    }
  }
};

template <class Check>
void over_outages(Lists lists, engine::Duration slowest, int lose, Check check) {
  for (const int fleet : {1, 3, 100, 300}) {
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
      Outage outage{lists, fleet, seed, slowest, lose};
      outage.run();
      CAPTURE(fleet, seed);
      check(outage, fleet);
    }
  }
}

TEST_CASE("pushed: whatever the calls met before, a change is known within 6 s", "[discovery][plan]") {
  engine::Duration worst{};
  over_outages(Lists::kPushed, milliseconds(2100), 0, [&](const Outage& o, int) {
    worst = std::max(worst, o.known_after);
    REQUIRE(o.known_after < seconds(6) - service_discovery::kMargin);
    REQUIRE(o.max_calls <= 2);
    REQUIRE(o.longest_gap <= milliseconds(250));
  });
  CHECK(worst > milliseconds(3000));  // the outages drawn do reach the edges
}

TEST_CASE("pushed: nor does it matter that the first call after the return is lost", "[discovery][plan]") {
  over_outages(Lists::kPushed, milliseconds(50), 1, [&](const Outage& o, int) {
    REQUIRE(o.known_after < seconds(6) - service_discovery::kMargin);
  });
}

TEST_CASE("asked for: whatever the calls met before, a change is known within 6 s", "[discovery][plan]") {
  engine::Duration worst{};
  over_outages(Lists::kAskedFor, milliseconds(2100), 0, [&](const Outage& o, int fleet) {
    worst = std::max(worst, o.known_after);
    REQUIRE(o.known_after < seconds(6) - service_discovery::kMargin);
    REQUIRE(o.max_calls <= 1);
    // Each further call comes after a pause by the fleet's size.
    for (std::size_t i = 1; i < o.opened.size(); ++i)
      REQUIRE(o.opened[i] - o.opened[i - 1] >= service_discovery::after_silence(fleet).first / 2);
  });
  CHECK(worst > milliseconds(4000));
}

TEST_CASE("pushed: calls that fail at once come ever later, up to 250 ms", "[discovery][plan]") {
  for (const bool unreadable : {false, true}) {
    PollSchedule plan(Lists::kPushed, 300);
    std::mt19937_64 random(5);
    std::uniform_real_distribution<double> draw(0, 1);
    engine::Time now = seconds(50);
    CallId id = plan.restart(now).open;
    std::vector<engine::Duration> pauses;
    while (pauses.size() < 50) {
      const auto failed = now;
      if (unreadable) plan.answered(id, now);
      const auto orders =
          unreadable ? plan.unreadable(id, now, draw(random)) : plan.failed(id, now, draw(random));
      CHECK(orders.unreadable == unreadable);
      now = *plan.next();
      id = plan.tick(now, draw(random)).open;
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
    plan.answered(id, now);
    now += milliseconds(1500);
    plan.failed(id, now, 0.5);
    CHECK(*plan.next() - now <= milliseconds(5));
  }
}

TEST_CASE("pushed: an unanswered call is joined, not dropped, and the older of two goes for a third",
          "[discovery][plan]") {
  PollSchedule plan(Lists::kPushed, 300);
  const engine::Time start = seconds(50);
  const CallId first = plan.restart(start).open;
  REQUIRE(plan.next() == start + service_discovery::kCallLimit);
  CHECK(plan.tick(start + service_discovery::kCallLimit - milliseconds(1), 0.5).open == 0);
  auto orders = plan.tick(*plan.next(), 0.5);
  const CallId second = orders.open;
  CHECK(second != 0);
  CHECK(orders.close.empty());
  CHECK(orders.silent);
  REQUIRE(plan.next() == start + 2 * service_discovery::kCallLimit);
  orders = plan.tick(*plan.next(), 0.5);
  CHECK(orders.close == std::vector<CallId>{first});
  const CallId third = orders.open;
  orders = plan.answered(second, start + seconds(5));
  CHECK(orders.close == std::vector<CallId>{third});
  CHECK(plan.calls() == 1);
  CHECK(plan.next() == start + seconds(5) + service_discovery::kSilence);
}

TEST_CASE("pushed: a silent watch is joined at once and may still speak; the call that answers replaces it",
          "[discovery][plan]") {
  PollSchedule plan(Lists::kPushed, 300);
  const engine::Time start = seconds(50);
  const CallId watch = plan.restart(start).open;
  plan.answered(watch, start);
  REQUIRE(plan.next() == start + service_discovery::kSilence);
  const auto joined = plan.tick(*plan.next(), 0.9);
  CHECK(joined.close.empty());
  REQUIRE(joined.open != 0);
  const engine::Time later = start + seconds(3);
  CHECK(plan.answered(watch, later).close.empty());  // as with any byte of it
  plan.heard(watch, later, std::nullopt);
  CHECK(plan.calls() == 2);
  CHECK(plan.answered(joined.open, later).close == std::vector<CallId>{watch});
}

TEST_CASE("pushed: after a refusal there is a pause by the fleet's size, whatever happens in it",
          "[discovery][plan]") {
  for (const int fleet : {1, 300}) {
    PollSchedule plan(Lists::kPushed, fleet);
    engine::Time now = seconds(50);
    const CallId first = plan.restart(now).open;
    now += service_discovery::kCallLimit;
    const CallId second = plan.tick(now, 0).open;
    CHECK(plan.rejected(second, now, 1).open == 0);
    CHECK(plan.failed(first, now, 0).open == 0);
    CHECK(plan.next() == now + service_discovery::list_calls(fleet).first);
    CHECK(plan.tick(now + milliseconds(100), 0).open == 0);
    CHECK(plan.tick(*plan.next(), 0).open != 0);
  }
}

// An outage of refusals, each after 2 s, that ends round the end of one of our pauses.
TEST_CASE("discovery back just before, at and just after the end of a pause is heard in time",
          "[discovery][plan]") {
  for (const Lists lists : {Lists::kPushed, Lists::kAskedFor}) {
    for (const int refusals : {1, 2, 3, 8}) {
      for (const engine::Duration off : {milliseconds(-1), milliseconds(0), milliseconds(1)}) {
        PollSchedule plan(lists, 300);
        engine::Time now = seconds(50), pause{};
        CallId id = plan.restart(now).open;
        for (int i = 0; i < refusals; ++i) {
          now += service_discovery::kOverbookedWait;
          plan.rejected(id, now, 1.0);
          pause = *plan.next() - now;
          now = *plan.next();
          id = plan.tick(now, 1.0).open;
          REQUIRE(id != 0);
        }
        CHECK(pause <= service_discovery::kLongestPause);
        // Back after the pause's end, discovery knows nothing of the call, which stays silent.
        const engine::Time back = now + off;
        if (off > engine::Duration(0)) {
          for (id = 0; id == 0;) {
            REQUIRE(plan.next());
            now = *plan.next();
            id = plan.tick(now, 1.0).open;
          }
        }
        CHECK(now + milliseconds(2100) - back < seconds(6) - service_discovery::kMargin);
      }
    }
  }
}

TEST_CASE("an object that stalls ends its call, and the whole list is owed", "[discovery][plan]") {
  for (const Lists lists : {Lists::kPushed, Lists::kAskedFor}) {
    PollSchedule plan(lists, 3);
    const engine::Time start = seconds(50);
    engine::Time now = start;
    const CallId watch = plan.restart(now).open;
    plan.answered(watch, now);
    for (; now < start + service_discovery::kObject; now += milliseconds(100)) {  // it trickles
      REQUIRE(*plan.next() > now);
      plan.heard(watch, now, start);
    }
    REQUIRE(plan.next() == start + service_discovery::kObject);
    const auto orders = plan.tick(*plan.next(), 0.5);
    CHECK(orders.unreadable);
    CHECK(orders.close == std::vector<CallId>{watch});
    REQUIRE(plan.next());
    CHECK(plan.tick(*plan.next(), 0.5).open != 0);
  }
}

TEST_CASE("a move opens at once, whatever pause runs, and survives a silent first call within 4 s",
          "[discovery][plan]") {
  for (const Lists lists : {Lists::kPushed, Lists::kAskedFor}) {
    PollSchedule plan(lists, 300);
    engine::Time now = seconds(50);
    CallId id = plan.restart(now).open;
    for (int i = 0; i < 5; ++i) {
      plan.rejected(id, now, 0.99);
      now = *plan.next();
      id = plan.tick(now, 0.99).open;
    }
    plan.rejected(id, now, 0.99);
    const engine::Time moved = now + milliseconds(1);
    REQUIRE(plan.move(moved).open != 0);  // this one stays silent
    CallId next = 0;
    while (next == 0) {
      REQUIRE(plan.next());
      now = *plan.next();
      next = plan.tick(now, 0.999).open;
    }
    CHECK(now - moved + service_discovery::kMargin < seconds(4));
  }
}

}  // namespace
}  // namespace dispatcher::testing
