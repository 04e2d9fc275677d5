// Membership of whole fleets in virtual time, over a network that loses, delays and repeats datagrams and
// that may be partitioned.
#include <set>

#include "tests/fixtures/fleet_fixture.hpp"

namespace dispatcher::testing {
namespace {

TEST_CASE("members that start together all become alive, and an idle fleet sends little", "[membership]") {
  const MemberIndex count = GENERATE(2, 3, 30);
  FleetFixture fixture(count, 1);
  REQUIRE(fixture.start_and_join(seconds(10)));
  fixture.run(seconds(40));
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  for (MemberIndex member = 0; member < count; ++member) before += fixture.node(member).counts().sent_bytes;
  fixture.run(seconds(60));
  for (MemberIndex member = 0; member < count; ++member) after += fixture.node(member).counts().sent_bytes;
  CHECK((after - before) / 60 / count < 80);
  CHECK(fixture.all_alive());
}

TEST_CASE("a killed member is considered dead by all others, and alive again after a restart",
          "[membership]") {
  FleetFixture fixture(12, 2);
  fixture.network.loss = 0.1;
  REQUIRE(fixture.start_and_join(seconds(20)));
  fixture.kill(5);
  REQUIRE(fixture.until([&] { return fixture.all_consider(5, MemberState::kDead); }, seconds(25)));
  fixture.start(5);
  CHECK(fixture.until_all_alive(seconds(20)));
}

TEST_CASE("a restart before the failure is detected is a new incarnation, and earlier entries are dropped",
          "[membership]") {
  FleetFixture fixture(6, 3);
  REQUIRE(fixture.start_and_join(seconds(10)));
  fixture.write_evidence(2, 9);
  fixture.run(seconds(3));
  const auto entries = [&](MemberIndex member) {
    int found = 0;
    fixture.node(member).entries().for_each(fixture.clock(member), replicated_state::kFailureEvidenceKind,
                                            [&](const replicated_state::EntryView&) { ++found; });
    return found;
  };
  REQUIRE(entries(0) == 1);
  int new_incarnations = 0;
  int deaths = 0;
  fixture.on_change = [&](MemberIndex observer, const membership::MemberChange& change) {
    if (observer != 2 && change.member == 2) new_incarnations += change.is_new_incarnation;
    deaths += change.after == MemberState::kDead;
  };
  fixture.kill(2);
  fixture.run(milliseconds(50));
  fixture.start(2);
  fixture.run(seconds(10));
  CHECK(new_incarnations == 5);
  CHECK(deaths == 0);
  for (const MemberIndex member : {0U, 1U, 3U, 4U, 5U}) CHECK(entries(member) == 0);
}

TEST_CASE("a member that restarts with its clock set back is accepted", "[membership]") {
  FleetFixture fixture(5, 4);
  REQUIRE(fixture.start_and_join(seconds(10)));
  fixture.run(seconds(30));  // long enough that no member sends its first incarnation any more
  const int& suspicions = fixture.count_changes_to(MemberState::kSuspect);
  fixture.kill(1);
  fixture.skew[1] = -std::chrono::hours(2);
  fixture.run(milliseconds(200));
  fixture.start(1);
  const auto is_accepted = [&] {
    const auto incarnation = fixture.node(1).members().version().incarnation;
    for (const MemberIndex member : {0U, 2U, 3U, 4U}) {
      if (fixture.node(member).members().latest_update(1).version.incarnation != incarnation) return false;
    }
    return fixture.all_alive();
  };
  CHECK_FALSE(is_accepted());
  CHECK(fixture.until(is_accepted, seconds(3)));  // the answer to its first ping has the higher incarnation
  fixture.run(seconds(10));
  CHECK(suspicions == 0);
  CHECK(fixture.node(0).counts().dropped[static_cast<std::size_t>(DropReason::kStaleIncarnation)] > 0);
}

TEST_CASE("clocks that differ by hours and run at different rates cause no false death", "[membership]") {
  FleetFixture fixture(10, 5);
  for (MemberIndex member = 0; member < 10; ++member) {
    fixture.skew[member] = seconds(3600) * static_cast<int>(member) - seconds(7200);
    fixture.rate[member] = 1 + 0.01 * (static_cast<int>(member % 3) - 1);
  }
  const int& deaths = fixture.count_changes_to(MemberState::kDead);
  REQUIRE(fixture.start_and_join(seconds(20)));
  fixture.run(seconds(120));
  CHECK(deaths == 0);
}

TEST_CASE("a stopped member is considered dead, and its queued datagrams cause no suspicions when it resumes",
          "[membership]") {
  FleetFixture fixture(8, 6);
  REQUIRE(fixture.start_and_join(seconds(10)));
  fixture.stop(3);
  REQUIRE(fixture.until([&] { return fixture.all_consider(3, MemberState::kDead); }, seconds(30)));
  fixture.run(seconds(60));
  int accused = 0;
  fixture.on_change = [&](MemberIndex, const membership::MemberChange& change) {
    if (change.member != 3) accused += change.after != MemberState::kAlive;
  };
  fixture.resume(3);
  CHECK(fixture.until_all_alive(seconds(20)));
  fixture.run(seconds(30));
  CHECK(accused == 0);  // it does not mistake its own pause for silence of the others
  CHECK(fixture.node(3).members().counts().pauses >= 1);
  CHECK(fixture.node(0).members().latest_update(3).version.refutations >= 1);
}

TEST_CASE("both sides of a partitioned fleet consider each other dead, and reconnect after the partition",
          "[membership]") {
  FleetFixture fixture(10, 7);
  REQUIRE(fixture.start_and_join(seconds(10)));
  const std::set<MemberIndex> left{0, 1, 2, 3};
  const std::set<MemberIndex> right{4, 5, 6, 7, 8, 9};
  fixture.block(left, right);
  fixture.block(right, left);
  const auto is_partitioned = [&] {
    for (const MemberIndex on_left : left) {
      for (const MemberIndex on_right : right) {
        if (fixture.node(on_left).members().state(on_right) != MemberState::kDead) return false;
        if (fixture.node(on_right).members().state(on_left) != MemberState::kDead) return false;
      }
    }
    return true;
  };
  CHECK(fixture.until(is_partitioned, seconds(60)));
  fixture.run(seconds(60));
  for (const MemberIndex observer : left) {
    for (const MemberIndex member : left)
      CHECK((observer == member || fixture.node(observer).members().state(member) == MemberState::kAlive));
  }
  fixture.unblock_all();
  CHECK(fixture.until_all_alive(seconds(40)));
}

TEST_CASE("a member whose messages do not reach some of the others stays alive by indirect probes",
          "[membership]") {
  FleetFixture fixture(8, 8);
  REQUIRE(fixture.start_and_join(seconds(10)));
  const int& deaths = fixture.count_changes_to(MemberState::kDead);
  fixture.block({0}, {1, 2, 3});  // one way
  fixture.run(seconds(120));
  CHECK(deaths == 0);
  fixture.unblock_all();
  fixture.run(seconds(5));
  CHECK(fixture.all_alive());
}

TEST_CASE("a member that can receive but not send is considered dead, and the others stay alive",
          "[membership]") {
  FleetFixture fixture(6, 9);
  REQUIRE(fixture.start_and_join(seconds(10)));
  fixture.block({0}, {1, 2, 3, 4, 5});
  CHECK(fixture.until([&] { return fixture.all_consider(0, MemberState::kDead); }, seconds(30)));
  for (MemberIndex observer = 1; observer < 6; ++observer) {
    for (MemberIndex member = 1; member < 6; ++member)
      CHECK((observer == member || fixture.node(observer).members().state(member) == MemberState::kAlive));
  }
  fixture.unblock_all();
  CHECK(fixture.until_all_alive(seconds(40)));
}

TEST_CASE("after loss, repetition and delays of seconds, all live members are considered alive",
          "[membership]") {
  FleetFixture fixture(15, 10);
  fixture.network = {0.3, 0.2, milliseconds(1), milliseconds(3000)};
  fixture.start_all();
  fixture.run(seconds(120));
  fixture.network = {};
  CHECK(fixture.until_all_alive(seconds(60)));
}

TEST_CASE("a member that leaves is considered dead without being suspected first", "[membership]") {
  FleetFixture fixture(8, 11);
  REQUIRE(fixture.start_and_join(seconds(10)));
  const int& suspicions = fixture.count_changes_to(MemberState::kSuspect);
  for (const gossip::OutgoingDatagram& outgoing : fixture.node(4).leave(fixture.clock(4)))
    fixture.inject(4, outgoing.to.value(), bytes_of(outgoing.datagram));
  fixture.kill(4);
  CHECK(fixture.until([&] { return fixture.all_consider(4, MemberState::kDead); }, seconds(10)));
  CHECK(suspicions == 0);
}

}  // namespace
}  // namespace dispatcher::testing
