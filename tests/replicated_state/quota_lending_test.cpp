// Tests single cases of lending between members: loans, renewals, returns, restarts and invalid messages.
#include "lending_fixture.hpp"

namespace dispatcher::testing {
namespace {

using Arrival = LendingFleet::Arrival;

TEST_CASE("a member with demand borrows, renews what it needs, and returns it", "[bounded_counter]") {
  TwoMembers pair;
  CHECK(pair.fleet.rate(0) == 500);
  pair.fleet.set_demand(0, 600);
  pair.run(milliseconds(200));
  CHECK(pair.fleet.rate(0) == 600);
  CHECK(pair.fleet.rate(1) == 400);
  pair.run(seconds(60));  // the loan is renewed before it ends, without a gap
  CHECK(pair.fleet.rate(0) == 600);
  CHECK(pair.fleet.members[0].counts().expired == 0);
  pair.fleet.set_demand(0, 500);
  pair.run(milliseconds(200));
  CHECK(pair.fleet.rate(0) == 500);
  CHECK(pair.fleet.rate(1) == 500);
  CHECK(pair.fleet.members[1].counts().returned == 1);
}

TEST_CASE("a part of each quota is never lent, and a lender keeps enough for its own demand",
          "[bounded_counter]") {
  TwoMembers pair;
  pair.fleet.set_demand(0, 1000);
  pair.run(seconds(5));
  CHECK(pair.fleet.rate(1) >= 250);
  CHECK(pair.fleet.rate(0) + pair.fleet.rate(1) == 1000);
  TwoMembers busy;
  busy.fleet.set_demand(0, 1000);
  busy.fleet.set_demand(1, 450);
  busy.run(seconds(5));
  CHECK(busy.fleet.rate(1) >= 450);
}

TEST_CASE("a lender reclaims the loan of a dead borrower only after the lease has ended on every clock",
          "[bounded_counter]") {
  TwoMembers pair;
  pair.fleet.set_demand(0, 700);
  pair.run(milliseconds(100));
  const std::uint64_t lent = 500 - pair.fleet.rate(1);
  REQUIRE(lent > 0);
  const Time granted = pair.fleet.real_time;
  const auto tick_lender = [&](Time at) {
    pair.fleet.real_time = at;
    pair.fleet.tick(1, {});
  };
  tick_lender(granted + seconds(10));
  CHECK(pair.fleet.rate(1) == 500 - lent);
  CHECK(pair.fleet.rate(0) == 500);  // it was stopped, and the lease has ended by its own clock
  tick_lender(granted + lease_with_drift(seconds(10), 0.001));
  CHECK(pair.fleet.rate(1) == 500);
}

TEST_CASE("a borrower that was stopped has lost its loan when it resumes, and its accrual is bounded",
          "[bounded_counter]") {
  TwoMembers pair;
  pair.fleet.set_demand(0, 700);
  pair.run(seconds(5));
  pair.fleet.real_time += seconds(300);
  // At most ten seconds of its own rate have accrued, and nothing of the borrowed one.
  CHECK(pair.fleet.rate(0) == 500);
  CHECK(pair.fleet.available(0) <= 5000);
}

TEST_CASE("a loan accrues nothing after its end, even if its end is noticed late", "[bounded_counter]") {
  TwoMembers pair;
  pair.fleet.budget.max_burst = std::chrono::minutes(10);
  for (const MemberIndex member : {0U, 1U}) {
    pair.fleet.members[member] = BoundedCounter(LendingPolicy{}, member, 2, 1, pair.fleet.clock(member),
                                                replicated_state::Random(member + 1));
    pair.fleet.members[member].open(pair.fleet.clock(member), pair.fleet.budget, BudgetStart::kObserved);
  }
  pair.fleet.real_time += seconds(20);
  for (const MemberIndex member : {0U, 1U}) pair.fleet.tick(member, {});
  pair.fleet.set_demand(0, 700);
  pair.run(milliseconds(100));
  const std::uint64_t borrowed = pair.fleet.rate(0) - 500;
  const std::uint64_t before = pair.fleet.available(0);
  REQUIRE(borrowed > 0);
  pair.fleet.real_time += seconds(300);
  CHECK(pair.fleet.available(0) == before + 300UL * 500 + 10 * borrowed);
}

TEST_CASE("a restarted lender uses only the reserved part until its earlier loans have ended",
          "[bounded_counter]") {
  TwoMembers pair;
  pair.fleet.set_demand(0, 700);
  pair.run(milliseconds(200));
  pair.fleet.restart(1);
  CHECK(pair.fleet.rate(1) == 250);
  CHECK(pair.fleet.held() <= 1000);
  pair.fleet.real_time += lease_with_drift(replicated_state::kMaxLease, 0.001) + milliseconds(1);
  CHECK(pair.fleet.rate(1) == 500);
}

TEST_CASE("a renewal whose answer is lost is not returned while the loan is in use", "[bounded_counter]") {
  TwoMembers pair;
  pair.fleet.set_demand(0, 600);
  pair.run(milliseconds(100));
  REQUIRE(pair.fleet.rate(0) == 600);
  pair.fleet.real_time += milliseconds(5100);
  pair.fleet.tick(0, {1});
  REQUIRE(pair.fleet.in_flight.size() == 1);
  pair.fleet.arrive(0, Arrival::kOnce);  // the lender renews the loan, and its answer is lost
  pair.fleet.in_flight.clear();
  pair.fleet.real_time += milliseconds(4880);  // the request is abandoned, and the loan runs for some more ms
  pair.fleet.tick(0, {1});
  pair.deliver_all();
  CHECK(pair.fleet.rate(0) == 600);
  CHECK(pair.fleet.held() == 1000);
}

TEST_CASE("a loan to the predecessor in a hot restart stays counted when the successor sends requests",
          "[bounded_counter]") {
  TwoMembers pair;
  pair.fleet.set_demand(0, 600);
  pair.run(milliseconds(100));
  BoundedCounter& lender = pair.fleet.members[1];
  REQUIRE(pair.fleet.rate(1) == 400);
  const auto& lent = lender.allocations().begin()->second.lent.at(0);
  const replicated_state::BudgetId id = pair.fleet.budget.id;
  // The new process numbers its requests from 1 as well.
  const auto out = lender.on_received(pair.fleet.clock(1), 0, 2, {{id, lent.sequence, 0, 100}}, {}, {});
  REQUIRE(out.size() == 1);
  CHECK(std::get<QuotaGrant>(out[0].content).amount == 0);
  lender.on_received(pair.fleet.clock(1), 0, 2, {}, {}, {{id, lent.sequence}});
  CHECK(pair.fleet.rate(1) == 400);
  lender.on_received(pair.fleet.clock(1), 0, 1, {}, {}, {{id, lent.sequence}});
  CHECK(pair.fleet.rate(1) == 500);
}

TEST_CASE("the complete quota is usable at once if lending is disabled", "[bounded_counter]") {
  LendingPolicy policy;
  policy.lending_enabled = false;
  BoundedCounter alone(policy, 0, 4, 1, seconds(5), replicated_state::Random(1));
  const Budget budget{{1, 7}, BudgetType::kRate, 1000, seconds(10)};
  REQUIRE(alone.open(seconds(5), budget, BudgetStart::kUnknown));
  CHECK(alone.rate(seconds(5), budget.id) == 250);
  alone.set_demand(budget.id, 1000);
  CHECK(alone.tick(seconds(6), {1, 2, 3}).empty());
  const auto out = alone.on_received(seconds(6), 1, 1, {{budget.id, 1, 0, 100}}, {}, {});
  REQUIRE(out.size() == 1);
  CHECK(std::get<QuotaGrant>(out[0].content).amount == 0);
}

TEST_CASE("accrual starts at zero, so that a restarted member has no burst", "[bounded_counter]") {
  TwoMembers pair;
  CHECK(pair.fleet.available(0) == 2500);  // 10 s of the part that is never lent have accrued since the start
  pair.run(seconds(20));
  CHECK(pair.fleet.available(0) == 5000);
  CHECK(pair.fleet.consume(0, 5000));
  CHECK_FALSE(pair.fleet.consume(0, 1));
  pair.fleet.restart(0);
  CHECK(pair.fleet.available(0) == 0);
}

TEST_CASE("grants without a request, too large or for another incarnation are ignored", "[bounded_counter]") {
  LendingFleet fleet(2, kUnitsBudget, LendingPolicy{}, {1.0, 1.0});
  BoundedCounter& borrower = fleet.members[0];
  fleet.set_demand(0, 5);
  fleet.tick(0, {1});
  REQUIRE(fleet.in_flight.size() == 1);
  const auto request = std::get<QuotaRequest>(fleet.in_flight[0].message.content);
  const auto grant = [&](std::uint64_t incarnation, std::uint32_t sequence, std::uint64_t amount) {
    borrower.on_received(fleet.clock(0), 1, 1, {}, {{kUnitsBudget.id, incarnation, sequence, amount, {}}},
                         {});
    return fleet.available(0);
  };
  CHECK(grant(2, request.sequence, 1) == 3);
  CHECK(grant(1, request.sequence + 1, 1) == 3);
  CHECK(grant(1, request.sequence, request.amount + 1) == 3);
  CHECK(borrower.counts().ignored == 3);
  CHECK(grant(1, request.sequence, 2) == 5);
  CHECK(grant(1, request.sequence, 2) == 5);  // a repeated grant is not added again
}

TEST_CASE("repeated requests for units transfer them once, and a lost grant is sent again",
          "[bounded_counter]") {
  LendingFleet fleet(2, kUnitsBudget, LendingPolicy{}, {1.0, 1.0});
  fleet.set_demand(0, 5);
  fleet.tick(0, {1});
  fleet.arrive(0, Arrival::kRepeated);
  fleet.arrive(0, Arrival::kRepeated);
  fleet.arrive(0, Arrival::kOnce);
  CHECK(fleet.available(1) == 1);  // half of the three units, rounded up, were transferred once
  fleet.in_flight.erase(fleet.in_flight.begin(), fleet.in_flight.begin() + 2);
  fleet.arrive(0, Arrival::kOnce);
  CHECK(fleet.available(0) == 5);
  fleet.restart(0);
  CHECK(fleet.available(0) == 0);
}

TEST_CASE("an unanswered request is repeated with backoff, and dropped when its lender is lost",
          "[bounded_counter]") {
  LendingFleet fleet(2, kUnitsBudget, LendingPolicy{}, {1.0, 1.0});
  fleet.set_demand(0, 5);
  for (int i = 0; i < 200; ++i) {
    fleet.tick(0, {1});
    fleet.real_time += milliseconds(100);
  }
  CHECK(fleet.in_flight.size() >= 6);
  CHECK(fleet.in_flight.size() <= 11);
  const auto first = std::get<QuotaRequest>(fleet.in_flight[0].message.content);
  CHECK(std::get<QuotaRequest>(fleet.in_flight.back().message.content).sequence == first.sequence);
  fleet.members[0].on_member_lost(1);
  fleet.tick(0, {1});
  CHECK(std::get<QuotaRequest>(fleet.in_flight.back().message.content).sequence > first.sequence);
}

TEST_CASE("the number of budgets is bounded, and a closed consumable budget does not open again",
          "[bounded_counter]") {
  LendingPolicy policy;
  policy.max_budgets = 3;
  BoundedCounter counter(policy, 0, 2, 1, seconds(0), replicated_state::Random(1));
  for (std::uint64_t key = 0; key < 3; ++key)
    CHECK(counter.open(seconds(1), {{2, key}, BudgetType::kConsumable, 10, {}}, BudgetStart::kObserved));
  CHECK_FALSE(counter.open(seconds(1), {{2, 9}, BudgetType::kConsumable, 10, {}}, BudgetStart::kObserved));
  CHECK_FALSE(counter.open(seconds(1),
                           {{2, 9}, BudgetType::kConsumable, replicated_state::kMaxAmount + 1, {}},
                           BudgetStart::kObserved));
  counter.close(seconds(2), {2, 1});
  CHECK(counter.available(seconds(2), {2, 1}) == 0);
  CHECK_FALSE(counter.consume(seconds(2), {2, 1}, 1));
  CHECK_FALSE(counter.open(seconds(3), {{2, 1}, BudgetType::kConsumable, 10, {}}, BudgetStart::kObserved));
  counter.tick(seconds(3), {});
  CHECK(counter.size() == 3);
  counter.tick(seconds(2) + std::chrono::minutes(10), {});
  CHECK(counter.size() == 2);
}

}  // namespace
}  // namespace dispatcher::testing
