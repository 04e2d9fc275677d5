// Detects unintended changes in the behaviour of gossip. Computes one hash over every datagram that the
// members of several fleets send in virtual time, with its sender, receiver and time, under loss, repetition,
// stops, restarts and blocked paths. A refactoring must not change the recorded value. A change of behaviour
// must record the new value and say so.
#include <cstdint>
#include <ios>
#include <random>

#include "tests/fixtures/digest.hpp"
#include "tests/fixtures/fleet_fixture.hpp"

namespace dispatcher::testing {
namespace {

constexpr std::uint64_t kRecorded = 0x69C9630FAD72E88AU;
constexpr Budget kRateBudget{{1, 7}, BudgetType::kRate, 8000, seconds(5)};
constexpr Budget kUnitsBudget{{2, 7}, BudgetType::kConsumable, 800, {}};

// Counts the events that must occur often, so that the test fails if the hash covers too little.
struct Coverage {
  std::uint64_t datagrams = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t refutations = 0;
  std::uint64_t deaths = 0;
  std::uint64_t stale_datagrams = 0;
  std::uint64_t loans = 0;
};

// One fleet whose members write, lend, stop, restart and lose contact with each other. All events are derived
// from its seed.
class RandomFleet {
 public:
  RandomFleet(MemberIndex count, std::uint64_t seed, routing::testing::Digest& digest, Coverage& coverage)
      : fixture_(count, seed), digest_(digest), coverage_(coverage), random_(seed) {
    fixture_.network = {0.15, 0.1, milliseconds(1), milliseconds(300)};
    fixture_.on_datagram = [this](MemberIndex from, MemberIndex to, std::span<const std::uint8_t> bytes) {
      ++coverage_.datagrams;
      digest_.add(static_cast<std::uint64_t>(fixture_.now().count()));
      digest_.add(std::uint64_t{from} << 32U | to);
      for (const std::uint8_t byte : bytes) digest_.add(std::uint64_t{byte});
    };
  }

  void run(int steps) {
    for (MemberIndex member = 0; member < fixture_.count(); ++member) start(member, BudgetStart::kObserved);
    fixture_.run(seconds(20));
    for (int i = 0; i < steps; ++i) {
      use_quotas(draw_member());
      disturb(draw_member());
      fixture_.run(milliseconds(100));
    }
    for (MemberIndex member = 0; member < fixture_.count(); ++member) add_counts(fixture_.node(member));
  }

 private:
  MemberIndex draw_member() { return static_cast<MemberIndex>(random_() % fixture_.count()); }

  void start(MemberIndex member, BudgetStart budget_start) {
    fixture_.start(member);
    fixture_.node(member).quotas().open(fixture_.clock(member), kRateBudget, budget_start);
    fixture_.node(member).quotas().open(fixture_.clock(member), kUnitsBudget, budget_start);
  }

  void use_quotas(MemberIndex member) {
    if (!fixture_.is_running(member)) return;
    auto& quotas = fixture_.node(member).quotas();
    quotas.set_demand(kRateBudget.id, random_() % 2 == 0 ? 3000 : 100);
    quotas.set_demand(kUnitsBudget.id, random_() % 200);
    quotas.consume(fixture_.clock(member), kUnitsBudget.id, random_() % 3);
    // Drawn in statements, as the order in which a call's arguments are evaluated differs between machines.
    const auto failures = static_cast<std::uint32_t>(random_() % 5);
    const std::uint64_t id = random_() % 9;
    fixture_.write_evidence(member, id, {failures, 5});
  }

  void disturb(MemberIndex member) {
    const std::uint64_t draw = random_() % 40;
    fixture_.disturb(member, draw, {(member + 1) % fixture_.count()});
    switch (draw) {
      case 3:
        start(member, BudgetStart::kUnknown);
        break;
      case 6:
        fixture_.skew[member] -= seconds(100);  // its next incarnation is lower than this one
        break;
      case 7:
        if (fixture_.is_running(member))
          fixture_.node(member).erase(fixture_.clock(member), 1, random_() % 9);
        break;
      case 8:
        leave(member);
        break;
      default:
        break;
    }
  }

  void leave(MemberIndex member) {
    if (!fixture_.is_running(member)) return;
    for (const gossip::OutgoingDatagram& outgoing : fixture_.node(member).leave(fixture_.clock(member)))
      fixture_.inject(member, outgoing.to.value(), bytes_of(outgoing.datagram));
    start(member, BudgetStart::kUnknown);
  }

  void add_counts(const GossipNode& node) {
    const auto members = node.members().counts();
    coverage_.suspicions += members.suspicions;
    coverage_.refutations += members.refutations;
    coverage_.deaths += members.deaths;
    coverage_.loans += node.quotas().counts().borrowed;
    coverage_.stale_datagrams +=
        node.counts().dropped[static_cast<std::size_t>(DropReason::kStaleIncarnation)];
  }

  FleetFixture fixture_;
  routing::testing::Digest& digest_;
  Coverage& coverage_;
  std::mt19937_64 random_;
};

TEST_CASE("fleets in virtual time send exactly the recorded datagrams", "[gossip]") {
  routing::testing::Digest digest;
  Coverage coverage;
  for (const MemberIndex count : {2U, 3U, 8U, 25U}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      RandomFleet fleet(count, seed, digest, coverage);
      fleet.run(600);
    }
  }
  INFO("0x" << std::hex << digest.value());
  CHECK(coverage.datagrams > 100'000);
  CHECK(coverage.suspicions > 50);
  CHECK(coverage.refutations > 50);
  CHECK(coverage.deaths > 50);
  CHECK(coverage.stale_datagrams > 50);
  CHECK(coverage.loans > 50);
  CHECK(digest.value() == kRecorded);
}

}  // namespace
}  // namespace dispatcher::testing
