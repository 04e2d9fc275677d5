// Tests the invariant of bounded counters: the sum over all members never exceeds the budget, whatever
// happens to messages, clocks and processes. Explorations try every sequence of events up to a depth, and a
// property test draws long random histories.
#include <algorithm>
#include <set>
#include <unordered_set>

#include "lending_fixture.hpp"
#include "tests/fixtures/deep_run.hpp"
#include "tests/fixtures/property.hpp"

namespace dispatcher::testing {
namespace {

using Arrival = LendingFleet::Arrival;

// Returns the states after each event that may come next. A lost message is one that never arrives, and a
// stopped member is one that never ticks.
std::vector<LendingFleet> successors(const LendingFleet& fleet) {
  constexpr std::size_t kMaxInFlight = 3;
  constexpr int kMaxRestarts = 2;
  constexpr int kMaxRepeats = 1;
  std::vector<LendingFleet> found;
  const auto add = [&](auto change) {
    LendingFleet& next = found.emplace_back(fleet);
    change(next);
    if (next.in_flight.size() > kMaxInFlight) next.in_flight.erase(next.in_flight.begin());
  };
  add([](LendingFleet& next) { next.real_time += seconds(5); });
  for (const MemberIndex lender : {1U, 2U}) add([&](LendingFleet& next) { next.tick(0, {lender}); });
  add([&](LendingFleet& next) { next.set_demand(0, next.demand(0) > 0 ? 0 : 6); });
  if (fleet.budget.type == BudgetType::kConsumable) {
    for (MemberIndex member = 0; member < fleet.count(); ++member) {
      if (fleet.available(member) > 0)
        add([&](LendingFleet& next) { next.spent += next.consume(member, 1) ? 1 : 0; });
    }
  }
  for (std::size_t i = 0; i < fleet.in_flight.size(); ++i) {
    add([&](LendingFleet& next) { next.arrive(i, Arrival::kOnce); });
    if (fleet.repeats >= kMaxRepeats) continue;
    add([&](LendingFleet& next) {
      ++next.repeats;
      next.arrive(i, Arrival::kRepeated);
    });
  }
  if (fleet.restarts < kMaxRestarts) {
    for (const MemberIndex member : {0U, 1U}) add([&](LendingFleet& next) { next.restart(member); });
  }
  return found;
}

// The result of an exploration.
struct Exploration {
  std::size_t states = 0;
  std::uint64_t max_held = 0;
  bool has_lent = false;  // any quota was lent or transferred
};

Exploration explore(const LendingFleet& first, int depth, std::size_t max_states) {
  Exploration found;
  std::unordered_set<std::uint64_t> seen{first.hash()};
  std::vector<LendingFleet> frontier{first};
  for (int level = 0; level < depth && !frontier.empty(); ++level) {
    std::vector<LendingFleet> next_frontier;
    for (const LendingFleet& fleet : frontier) {
      for (LendingFleet& next : successors(fleet)) {
        if (!seen.insert(next.hash()).second) continue;
        found.max_held = std::max(found.max_held, next.held());
        const auto& allocation = next.members[0].allocations().begin()->second;
        found.has_lent = found.has_lent || !allocation.borrowed.empty() || allocation.units > 2;
        if (seen.size() < max_states) next_frontier.push_back(std::move(next));
      }
    }
    frontier = std::move(next_frontier);
  }
  found.states = seen.size();
  return found;
}

// Returns a fleet whose first member has a demand for the whole budget. The borrower's clock is as slow, and
// a lender's clock as fast, as the bound allows. Requests are repeated without delay.
LendingFleet fleet_to_explore(const Budget& budget) {
  LendingPolicy policy;
  policy.lease = replicated_state::kMaxLease;
  policy.max_drift = 0.05;
  policy.request_retry = milliseconds(0);
  policy.request_pause = milliseconds(0);
  LendingFleet fleet(3, budget, policy, {0.95, 1.05, 1.0});
  fleet.set_demand(0, 6);
  return fleet;
}

// Explores all states up to the depth and checks that the members together hold at most the budget, and all
// of it in some state. A deep run continues with longer sequences until there are more states than are kept.
void check_all_states(const Budget& budget, int depth) {
  constexpr std::size_t kMaxStates = 600'000;
  constexpr int kDeepestDepth = 14;
  const int last = is_deep_run() ? kDeepestDepth : depth;
  for (std::size_t states = 0; depth <= last && states < kMaxStates; ++depth) {
    const Exploration found = explore(fleet_to_explore(budget), depth, kMaxStates);
    states = found.states;
    INFO("depth " << depth << ": " << states << " states");
    CHECK(found.has_lent);
    CHECK(found.max_held == 6);
    CHECK(found.states > 200'000);
    CHECK((is_deep_run() || found.states < kMaxStates));  // the exploration was complete
  }
}

TEST_CASE("the rates of three members never exceed the budget after any sequence of events up to a depth",
          "[bounded_counter]") {
  check_all_states(kRateBudget, 9);
}

TEST_CASE("the units of three members never exceed the budget after any sequence of events up to a depth",
          "[bounded_counter]") {
  check_all_states(kUnitsBudget, 8);
}

// A random history of a fleet, and the amount that its members have used so far.
class History {
 public:
  History(LendingFleet fleet, std::uint32_t seed)
      : fleet_(std::move(fleet)), started_(fleet_.real_time - seconds(20)), random_(seed) {}

  void step() {
    const auto member = static_cast<MemberIndex>(draw(fleet_.count()));
    switch (draw(12)) {
      case 0:
      case 1:
        fleet_.real_time += milliseconds(draw(draw(8) == 0 ? 9000 : 300));
        break;
      case 2:
        fleet_.set_demand(member, draw_demand());
        break;
      case 3:
        if (draw(6) == 0) fleet_.restart(member);
        break;
      case 4:
      case 5:
        use_some(member);
        break;
      case 6:
      case 7:
        tick(member);
        break;
      default:
        if (!fleet_.in_flight.empty()) lose_or_deliver();
    }
  }

  void check() const {
    RC_ASSERT(fleet_.held() <= fleet_.budget.amount);
    if (fleet_.budget.type != BudgetType::kRate) return;
    const double passed = static_cast<double>((fleet_.real_time - started_).count()) / 1e6;
    RC_ASSERT(static_cast<double>(used_) <= static_cast<double>(fleet_.budget.amount) * passed * 1.01);
  }

 private:
  std::size_t draw(std::size_t below) { return random_() % below; }
  std::uint64_t draw_demand() {
    const std::uint64_t amount = fleet_.budget.amount;
    return draw(3) == 0 ? draw(amount + 1) : amount * draw(2);
  }
  void use_some(MemberIndex member) {
    const std::uint64_t some = draw(fleet_.available(member) + 1);
    if (fleet_.consume(member, some)) used_ += some;
    if (fleet_.budget.type == BudgetType::kConsumable) fleet_.spent = used_;
  }
  void tick(MemberIndex member) {
    std::vector<MemberIndex> others;
    for (MemberIndex other = 0; other < fleet_.count(); ++other) {
      if (other != member) others.push_back(other);
    }
    if (draw(10) == 0) others.clear();
    fleet_.tick(member, others);
    // A past deadline would make a caller that sleeps until the deadline spin.
    if (const auto next = fleet_.members[member].next_deadline()) RC_ASSERT(*next > fleet_.clock(member));
  }
  void lose_or_deliver() {
    const std::size_t index = draw(fleet_.in_flight.size());
    if (draw(10) == 0) {
      fleet_.in_flight.erase(fleet_.in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    } else {
      fleet_.arrive(index, draw(6) == 0 ? Arrival::kRepeated : Arrival::kOnce);
    }
  }

  LendingFleet fleet_;
  Time started_;
  std::mt19937 random_;
  std::uint64_t used_ = 0;
};

TEST_CASE("long random histories keep the sum within the budget, and usage within the rate",
          "[bounded_counter]") {
  for (const BudgetType type : {BudgetType::kRate, BudgetType::kConsumable}) {
    holds(
        [type] {
          const auto count = *rc::gen::inRange<MemberIndex>(2, 8);
          const auto key = *rc::gen::arbitrary<std::uint16_t>();
          const auto amount = *rc::gen::inRange<std::uint64_t>(0, 400);
          LendingPolicy policy;
          policy.max_drift = 0.01;
          std::vector<double> rates;
          for (MemberIndex i = 0; i < count; ++i) rates.push_back(*rc::gen::element(0.99, 1.0, 1.01));
          const LendingFleet fleet(count, {{1, key}, type, amount, seconds(5)}, policy, rates);
          // Drawn from a single seed, so that only the length of the history shrinks.
          History history(fleet, *rc::gen::arbitrary<std::uint32_t>());
          const int steps = *rc::gen::inRange(0, 1500);
          for (int i = 0; i < steps; ++i) {
            history.step();
            history.check();
          }
        },
        1500);
  }
}

TEST_CASE("initial quotas add up to the budget, and small budgets are not all assigned to the first member",
          "[bounded_counter]") {
  holds([] {
    const auto count = *rc::gen::inRange<MemberIndex>(1, 400);
    const Budget budget{{*rc::gen::inRange<std::uint32_t>(1, 9), *rc::gen::arbitrary<std::uint64_t>()},
                        BudgetType::kRate,
                        *rc::gen::inRange<std::uint64_t>(0, 100000),
                        {}};
    std::uint64_t sum = 0;
    std::uint64_t min_quota = budget.amount;
    std::uint64_t max_quota = 0;
    for (MemberIndex member = 0; member < count; ++member) {
      const std::uint64_t quota = replicated_state::initial_quota(budget, member, count);
      sum += quota;
      min_quota = std::min(min_quota, quota);
      max_quota = std::max(max_quota, quota);
    }
    RC_ASSERT(sum == budget.amount);
    RC_ASSERT(max_quota - min_quota <= 1U);
  });
  std::set<MemberIndex> holders;
  for (std::uint64_t key = 0; key < 50; ++key) {
    const Budget budget{{1, key}, BudgetType::kConsumable, 1, {}};
    for (MemberIndex member = 0; member < 10; ++member) {
      if (replicated_state::initial_quota(budget, member, 10) == 1) holders.insert(member);
    }
  }
  CHECK(holders.size() > 5);
}

}  // namespace
}  // namespace dispatcher::testing
