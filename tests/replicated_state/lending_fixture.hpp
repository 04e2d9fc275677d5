// A fleet whose members lend one another quota of a budget, in virtual time, with clocks of different rates
// and a network that may lose, delay, reorder or repeat their messages.
#ifndef DISPATCHER_TESTS_REPLICATED_STATE_LENDING_FIXTURE_HPP_
#define DISPATCHER_TESTS_REPLICATED_STATE_LENDING_FIXTURE_HPP_

#include <cstdint>
#include <utility>
#include <vector>

#include "replicated_state/bounded_counter.hpp"
#include "tests/fixtures/fleet_fixture.hpp"

namespace dispatcher::testing {

using replicated_state::BoundedCounter;
using replicated_state::lease_with_drift;
using replicated_state::LendingPolicy;
using replicated_state::QuotaMessage;

// A budget of each type, small enough to explore all sequences of events up to a depth.
inline constexpr Budget kRateBudget{{1, 7}, BudgetType::kRate, 6, seconds(10)};
inline constexpr Budget kUnitsBudget{{2, 7}, BudgetType::kConsumable, 6, {}};

// A message that was sent and may arrive.
struct SentMessage {
  MemberIndex from = 0;
  std::uint64_t incarnation = 0;  // the sender's
  QuotaMessage message;
};

// Members with clocks of different rates, and messages in flight, which may arrive in any order, late, never
// or repeatedly. This includes messages of processes that have ended. The messages are not filtered; in
// production, the checks of the datagrams are made in addition.
struct LendingFleet {
  std::vector<BoundedCounter> members;
  std::vector<std::uint64_t> incarnations;
  std::vector<double> rates;
  std::vector<SentMessage> in_flight;
  Budget budget;
  LendingPolicy policy;
  Time real_time = seconds(100);
  std::uint64_t spent = 0;
  int restarts = 0;
  int repeats = 0;

  LendingFleet(MemberIndex count, const Budget& shared_budget, const LendingPolicy& lending_policy,
               std::vector<double> clock_rates);
  [[nodiscard]] MemberIndex count() const { return static_cast<MemberIndex>(members.size()); }
  [[nodiscard]] Time clock(MemberIndex member) const;
  void send(MemberIndex from, const std::vector<QuotaMessage>& messages);
  void tick(MemberIndex member, const std::vector<MemberIndex>& live_members);
  // How a message in flight arrives. With kRepeated, it stays in flight and may arrive again.
  enum class Arrival { kOnce, kRepeated };
  void arrive(std::size_t index, Arrival arrival);
  void restart(MemberIndex member);  // starts a new process with the same demand
  // Returns the sum of the quotas that all members hold, plus the units that were spent.
  [[nodiscard]] std::uint64_t held() const;
  [[nodiscard]] std::uint64_t hash() const;
  // These functions refer to the fleet's only budget.
  [[nodiscard]] std::uint64_t available(MemberIndex member) const;
  [[nodiscard]] std::uint64_t rate(MemberIndex member) const;
  [[nodiscard]] std::uint64_t demand(MemberIndex member) const;
  void set_demand(MemberIndex member, std::uint64_t amount);
  [[nodiscard]] bool consume(MemberIndex member, std::uint64_t amount);
};

// Two members that share a rate of 1000 units per second. Messages arrive at once.
struct TwoMembers {
  LendingFleet fleet;

  TwoMembers();
  void deliver_all();
  void run(Time time);
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_REPLICATED_STATE_LENDING_FIXTURE_HPP_
