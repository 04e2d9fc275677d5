// Tests the parts of membership without a network: suspicions, local health, merging of updates, and probes.
#include <algorithm>
#include <random>
#include <set>

#include "tests/fixtures/fleet_fixture.hpp"
#include "tests/fixtures/property.hpp"

namespace dispatcher::testing {
namespace {

using membership::LocalHealth;
using membership::Suspicion;

TEST_CASE("a suspicion's timeout is longest for a lone accuser and shortest for many", "[membership]") {
  Suspicion suspicion(seconds(100), 1, 3, seconds(6), seconds(24));
  CHECK(suspicion.timeout() == seconds(24));
  CHECK_FALSE(suspicion.confirm(1));  // the first accuser cannot confirm its own suspicion
  CHECK(suspicion.confirm(2));
  CHECK(suspicion.timeout() == seconds(15));  // halfway to the minimum: log 2 / log 4
  CHECK(suspicion.confirm(3));
  CHECK(suspicion.timeout() > seconds(9));
  CHECK(suspicion.confirm(4));
  CHECK(suspicion.timeout() == seconds(6));
  CHECK_FALSE(suspicion.confirm(5));
  CHECK(Suspicion(seconds(100), 1, 0, seconds(6), seconds(24)).timeout() == seconds(6));
  suspicion.extend(seconds(10));
  CHECK(suspicion.deadline() == seconds(116));
}

TEST_CASE("local health stays between its bounds", "[membership]") {
  LocalHealth health(8);
  health.improve();
  CHECK(health.score() == 0);
  health.degrade(3);
  CHECK(health.scaled(seconds(1)) == seconds(4));
  health.degrade(100);
  CHECK(health.score() == 8);
  for (int i = 0; i < 20; ++i) health.improve();
  CHECK(health.score() == 0);
}

Membership make_member(MemberIndex self, MemberIndex count, std::uint64_t incarnation = 1000,
                       Time now = seconds(100)) {
  return {Parameters{}, self, count, incarnation, now, membership::Random(self + 1)};
}

TEST_CASE("merging the same updates in any order and with repetitions gives the same view", "[membership]") {
  holds(
      [] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        std::vector<MemberUpdate> updates;
        const int length = *rc::gen::inRange(0, 60);
        updates.reserve(static_cast<std::size_t>(length));
        for (int i = 0; i < length; ++i)
          updates.push_back({static_cast<MemberIndex>(1 + random() % 4),
                             {1 + random() % 3, static_cast<std::uint32_t>(random() % 3)},
                             static_cast<MemberState>(1 + random() % 3),
                             static_cast<MemberIndex>(1 + random() % 4)});
        Membership one = make_member(0, 5);
        Membership other = make_member(0, 5);
        one.on_received(seconds(100), 1, {1, 0}, std::nullopt, updates);
        std::shuffle(updates.begin(), updates.end(), random);
        for (const MemberUpdate& update : updates) {
          other.on_received(seconds(100), 1, {1, 0}, std::nullopt, {update});
          if (random() % 3 == 0)
            other.on_received(seconds(100), 1, {1, 0}, std::nullopt, {updates[random() % updates.size()]});
        }
        if (updates.empty()) return;
        for (MemberIndex member = 1; member < 5; ++member)
          RC_ASSERT(one.latest_update(member).precedence() == other.latest_update(member).precedence());
      },
      500);
}

TEST_CASE("a member refutes suspicions of itself, and exceeds a higher incarnation of an earlier process",
          "[membership]") {
  Membership observer = make_member(0, 3);
  const auto receive = [&](const MemberUpdate& update) {
    observer.on_received(seconds(100), 1, {5, 0}, std::nullopt, {update});
  };
  receive({0, {1000, 0}, MemberState::kSuspect, 1});
  CHECK(observer.version() == MemberVersion{1000, 1});
  CHECK(observer.health_score() == 1);
  receive({0, {1000, 0}, MemberState::kDead, 1});  // refuted already
  CHECK(observer.version() == MemberVersion{1000, 1});
  receive({0, {900, 7}, MemberState::kDead, 1});  // ignored, as it is about an earlier incarnation
  CHECK(observer.version() == MemberVersion{1000, 1});
  receive({0, {2000, 4}, MemberState::kAlive, 0});  // its clock has been set back since
  CHECK(observer.version() == MemberVersion{2001, 0});
  receive({0, {membership::kMaxIncarnation, 0}, MemberState::kAlive, 0});
  CHECK(observer.version() == MemberVersion{2001, 0});
  CHECK(observer.state(0) == MemberState::kAlive);
}

TEST_CASE("a suspicion is still sent to the suspect when its transmissions to others are used up",
          "[membership]") {
  Membership observer = make_member(0, 4);
  observer.on_received(seconds(100), 1, {5, 0}, std::nullopt,
                       {{2, {5, 0}, MemberState::kSuspect, 1}, {3, {5, 0}, MemberState::kAlive, 3}});
  for (int i = 0; i < 100; ++i) {
    for (const MemberIndex member : {1U, 2U, 3U}) observer.mark_sent(member);
  }
  CHECK(observer.update_queue(1).empty());
  REQUIRE(observer.update_queue(2).size() == 1);
  CHECK(observer.update_queue(2)[0].state == MemberState::kSuspect);
}

TEST_CASE("a helper pings on behalf of the prober, and sends a nack while the target has not answered",
          "[membership]") {
  Membership helper = make_member(2, 4);
  helper.tick(helper.next_deadline());
  const Time now = helper.next_deadline();
  auto out = helper.on_received(now, 0, {5, 0}, Probe{Probe::Type::kPingRequest, 77, 1}, {});
  REQUIRE(out.size() == 1);
  CHECK(out[0].to == 1);
  CHECK(out[0].probe->type == Probe::Type::kPing);
  const std::uint32_t sequence = out[0].probe->sequence;
  // The helper sends one nack if there is no answer within four fifths of the prober's timeout.
  std::size_t nacks = 0;
  for (Time at = now; at < now + milliseconds(400); at += milliseconds(10)) {
    for (const OutgoingMessage& message : helper.tick(at))
      nacks += message.probe && message.probe->type == Probe::Type::kNack && message.probe->sequence == 77;
  }
  CHECK(nacks == 1);
  out = helper.on_received(now + milliseconds(400), 3, {5, 0}, Probe{Probe::Type::kAck, sequence, 0}, {});
  CHECK(out.empty());  // the ack is not from the member that was pinged
  out = helper.on_received(now + milliseconds(400), 1, {5, 0}, Probe{Probe::Type::kAck, sequence, 0}, {});
  REQUIRE(out.size() == 1);
  CHECK(out[0].to == 0);
  CHECK(out[0].probe == Probe{Probe::Type::kAck, 77, 0});
}

TEST_CASE("an unanswered ping is repeated and sent through helpers, and a round probes each live member once",
          "[membership]") {
  Membership observer = make_member(0, 8);
  for (MemberIndex member = 1; member < 4; ++member)
    observer.on_received(seconds(100), member, {5, 0}, std::nullopt, {});
  for (int round = 0; round < 20; ++round) {
    std::set<MemberIndex> probed;
    for (int probe = 0; probe < 3; ++probe) {
      auto out = observer.tick(observer.next_deadline());
      const auto ping = std::find_if(out.begin(), out.end(), [&](const OutgoingMessage& message) {
        return observer.state(message.to) == MemberState::kAlive;
      });
      REQUIRE(ping != out.end());
      const OutgoingMessage first = *ping;
      probed.insert(first.to);
      if (round == 0 && probe == 0) {
        const Time again = observer.next_deadline();
        out = observer.tick(again);
        REQUIRE(out.size() == 3);  // the same ping, and ping requests to two helpers
        CHECK(out[0].to == first.to);
        CHECK(out[0].probe == first.probe);
        CHECK(out[1].probe->type == Probe::Type::kPingRequest);
        CHECK(out[1].probe->target == first.to);
        CHECK(observer.tick(observer.next_deadline()).size() == 1);
      }
      observer.on_received(observer.next_deadline(), first.to, {5, 0},
                           Probe{Probe::Type::kAck, first.probe->sequence, 0}, {});
    }
    CHECK(probed.size() == 3);
  }
  CHECK(observer.counts().failed_probes == 0);
}

}  // namespace
}  // namespace dispatcher::testing
