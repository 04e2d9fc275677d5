// Several gossip nodes in virtual time: entries and quotas over an unreliable network, within the byte
// budget.
#include <algorithm>
#include <random>
#include <set>

#include "tests/fixtures/fleet_fixture.hpp"

namespace dispatcher::testing {
namespace {

TEST_CASE("an urgent entry reaches all members immediately and spreads around blocked paths", "[gossip]") {
  FleetFixture fixture(20, 21);
  REQUIRE(fixture.start_and_join(seconds(20)));
  fixture.write_evidence(4, 99);
  fixture.run(milliseconds(100));
  CHECK(fixture.members_with_evidence(99) == 20);
  // Only one member receives from the owner; the entry spreads from there.
  std::set<MemberIndex> others;
  for (MemberIndex member = 0; member < 20; ++member) {
    if (member != 4 && member != 5) others.insert(member);
  }
  fixture.block({4}, others);
  fixture.write_evidence(4, 100);
  fixture.run(milliseconds(100));
  CHECK(fixture.members_with_evidence(100) <= 2);
  CHECK(fixture.until([&] { return fixture.members_with_evidence(100) == 20; }, seconds(25)));
}

TEST_CASE("entries are delivered despite loss and reordering, and all members drop them when they expire",
          "[gossip]") {
  FleetFixture fixture(15, 22);
  fixture.network = {0.3, 0.2, milliseconds(1), milliseconds(2000)};
  fixture.start_all();
  fixture.run(seconds(20));
  for (MemberIndex member = 0; member < 15; ++member) fixture.write_evidence(member, member);
  CHECK(fixture.until(
      [&] {
        for (MemberIndex member = 0; member < 15; ++member) {
          if (fixture.members_with_evidence(member) < 15) return false;
        }
        return true;
      },
      seconds(29)));
  fixture.run(seconds(31));
  for (MemberIndex member = 0; member < 15; ++member) CHECK(fixture.members_with_evidence(member) == 0);
  for (MemberIndex member = 0; member < 15; ++member) CHECK(fixture.node(member).entries().size() == 0);
}

TEST_CASE("a member's sent bytes stay within its budget during a flood of pings", "[gossip]") {
  NodeOptions options;
  options.bytes_per_second = 300;
  options.burst_bytes = 1024;
  FleetFixture fixture(20, 23, options);
  fixture.network.loss = 0.3;
  fixture.start_all();
  std::uint64_t bytes = 0;
  fixture.on_datagram = [&](MemberIndex from, MemberIndex, std::span<const std::uint8_t> datagram) {
    bytes += from == 0 ? datagram.size() : 0;
  };
  const auto before = fixture.node(0).counts().sent_bytes;
  for (std::uint32_t i = 0; i < 300; ++i) {
    for (MemberIndex member = 0; member < 20; ++member) fixture.write_evidence(member, i % 40, {i % 50, 50});
    // A flood of pings, each of which requires an answer.
    for (std::uint32_t ping = 0; ping < 20; ++ping) {
      DatagramBuilder builder(
          Sender{0, 20, 19, fixture.node(19).members().version(), 1'000'000 + i * 20 + ping});
      builder.add(Probe{Probe::Type::kPing, ping, 0});
      fixture.inject(19, 0, bytes_of(builder));
    }
    fixture.run(milliseconds(200));
  }
  CHECK(fixture.node(0).counts().deferred > 0);
  CHECK(fixture.node(0).counts().sent_bytes - before <= 60 * 300 + 1024 + 300);
  CHECK(bytes <= 60 * 300 + 1024 + 300);
}

// A fleet that lends two budgets while its members stop, restart and lose contact with each other.
class DisturbedLending {
 public:
  DisturbedLending() : fixture_(kCount, 24) {
    fixture_.network = {0.2, 0.2, milliseconds(1), milliseconds(500)};
    for (MemberIndex member = 0; member < kCount; ++member)
      fixture_.rate[member] = 1 + 0.001 * (static_cast<int>(member % 3) - 1);
    for (MemberIndex member = 0; member < kCount; ++member) start(member, BudgetStart::kObserved);
    fixture_.run(seconds(25));
  }

  void step() {
    const MemberIndex member = random_() % kCount;
    if (fixture_.is_running(member)) use_quotas(member);
    disturb(member);
    fixture_.run(milliseconds(50));
  }

  void check_sums() {
    std::uint64_t rates = 0;
    std::uint64_t available = spent_;
    for (MemberIndex member = 0; member < kCount; ++member) {
      // Includes a stopped member, which reads its clock when it resumes.
      const auto& quotas = fixture_.node(member).quotas();
      rates += quotas.rate(fixture_.clock(member), kRate.id);
      available += quotas.available(fixture_.clock(member), kUnits.id);
      borrowed_ += quotas.counts().borrowed;
    }
    max_rate_ = std::max(max_rate_, rates);
    if (rates > kRate.amount || available > kUnits.amount) FAIL("rates " << rates << ", units " << available);
  }

  [[nodiscard]] std::uint64_t borrowed() const { return borrowed_; }
  [[nodiscard]] std::uint64_t max_rate() const { return max_rate_; }

 private:
  static constexpr MemberIndex kCount = 8;
  static constexpr Budget kRate{{1, 7}, BudgetType::kRate, 8000, seconds(5)};
  static constexpr Budget kUnits{{2, 7}, BudgetType::kConsumable, 800, {}};

  void start(MemberIndex member, BudgetStart budget_start) {
    fixture_.start(member);
    fixture_.node(member).quotas().open(fixture_.clock(member), kRate, budget_start);
    fixture_.node(member).quotas().open(fixture_.clock(member), kUnits, budget_start);
  }

  void use_quotas(MemberIndex member) {
    auto& quotas = fixture_.node(member).quotas();
    quotas.set_demand(kRate.id, random_() % 2 == 0 ? 3000 : 100);
    quotas.set_demand(kUnits.id, random_() % 200);
    if (random_() % 3 == 0 && quotas.consume(fixture_.clock(member), kUnits.id, 1)) ++spent_;
  }

  void disturb(MemberIndex member) {
    const std::uint64_t draw = random_() % 60;
    fixture_.disturb(member, draw, {(member + 1) % kCount, (member + 2) % kCount});
    if (draw == 3) start(member, BudgetStart::kUnknown);
  }

  FleetFixture fixture_;
  std::mt19937 random_{9};
  std::uint64_t spent_ = 0;
  std::uint64_t borrowed_ = 0;
  std::uint64_t max_rate_ = 0;
};

TEST_CASE("lent quotas never add up to more than the budget under loss, stops, restarts and partitions",
          "[gossip]") {
  DisturbedLending lending;
  for (int i = 0; i < 4000; ++i) {
    lending.step();
    lending.check_sums();
  }
  CHECK(lending.borrowed() > 1000);
  CHECK(lending.max_rate() > 7000);
}

TEST_CASE("members without demand lend their quota and get it back when they need it", "[gossip]") {
  FleetFixture fixture(5, 25);
  fixture.start_all();
  const Budget rate{{1, 7}, BudgetType::kRate, 5000, seconds(5)};
  for (MemberIndex member = 0; member < 5; ++member)
    fixture.node(member).quotas().open(fixture.clock(member), rate, BudgetStart::kObserved);
  fixture.run(seconds(20));
  const auto rate_of = [&](MemberIndex member) {
    return fixture.node(member).quotas().rate(fixture.clock(member), rate.id);
  };
  CHECK(rate_of(0) == 1000);
  fixture.node(0).quotas().set_demand(rate.id, 1700);
  CHECK(fixture.until([&] { return rate_of(0) == 1700; }, seconds(10)));
  fixture.run(seconds(40));
  CHECK(rate_of(0) == 1700);
  for (MemberIndex member = 1; member < 5; ++member) fixture.node(member).quotas().set_demand(rate.id, 1000);
  CHECK(
      fixture.until([&] { return rate_of(1) + rate_of(2) + rate_of(3) + rate_of(4) == 4000; }, seconds(15)));
  CHECK(rate_of(0) == 1000);
}

// A datagram as it was sent, or a corrupted copy of it.
struct RecordedDatagram {
  MemberIndex from = 0;
  MemberIndex to = 0;
  std::vector<std::uint8_t> bytes;
};

void corrupt(RecordedDatagram& datagram, std::mt19937& random) {
  std::vector<std::uint8_t>& bytes = datagram.bytes;
  switch (random() % 5) {
    case 0:
      bytes.resize(random() % 300);
      for (auto& byte : bytes) byte = static_cast<std::uint8_t>(random());
      break;
    case 1:
      bytes.resize(random() % (bytes.size() + 1));
      break;
    case 2:
      datagram.from = random() % 6;  // sent from another member's address
      break;
    case 3:
      // Repeats the datagram unchanged.
      break;
    case 4:
      // Corrupts the entries and not the header: a forged incarnation in the header would be accepted,
      // because the datagram comes from its sender's address.
      for (int change = 0; change < 3 && bytes.size() > 20; ++change)
        bytes[20 + random() % (bytes.size() - 20)] ^= 1U << (random() % 8);
      break;
  }
}

TEST_CASE("random bytes and corrupted datagrams do not disturb a running fleet", "[gossip]") {
  FleetFixture fixture(6, 20);
  fixture.network = {0.1, 0.1, milliseconds(1), milliseconds(100)};
  std::vector<RecordedDatagram> recorded;
  fixture.on_datagram = [&](MemberIndex from, MemberIndex to, std::span<const std::uint8_t> bytes) {
    if (recorded.size() < 2000) recorded.push_back({from, to, {bytes.begin(), bytes.end()}});
  };
  REQUIRE(fixture.start_and_join(seconds(20)));
  std::mt19937 random(3);
  for (int i = 0; i < 20000; ++i) {
    RecordedDatagram datagram = recorded[random() % recorded.size()];
    corrupt(datagram, random);
    fixture.inject(datagram.from, datagram.to, datagram.bytes);
    if (i % 50 == 0) fixture.run(milliseconds(100));
  }
  fixture.network = {};
  CHECK(fixture.until_all_alive(seconds(60)));
  std::uint64_t dropped = 0;
  for (MemberIndex member = 0; member < 6; ++member) {
    for (const auto count : fixture.node(member).counts().dropped) dropped += count;
  }
  CHECK(dropped > 8000);
}

}  // namespace
}  // namespace dispatcher::testing
