// Tests in virtual time when PollSchedule calls service discovery.
#include "service_discovery/poll_schedule.hpp"

#include <random>

#include "service_discovery/poll_timing.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using service_discovery::ListDelivery;
using service_discovery::PollSchedule;
using CallId = PollSchedule::CallId;

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
