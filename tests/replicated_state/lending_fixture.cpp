#include "lending_fixture.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace dispatcher::testing {

namespace {

std::vector<QuotaMessage> receive(BoundedCounter& counter, Time now, const SentMessage& sent) {
  std::vector<QuotaRequest> requests;
  std::vector<QuotaGrant> grants;
  std::vector<QuotaReturn> returns;
  const auto& content = sent.message.content;
  if (const auto* request = std::get_if<QuotaRequest>(&content)) requests.push_back(*request);
  if (const auto* grant = std::get_if<QuotaGrant>(&content)) grants.push_back(*grant);
  if (const auto* returned = std::get_if<QuotaReturn>(&content)) returns.push_back(*returned);
  return counter.on_received(now, sent.from, sent.incarnation, requests, grants, returns);
}

std::uint64_t hash_of(const std::vector<std::uint64_t>& fields) {
  return XXH3_64bits(fields.data(), fields.size() * sizeof fields[0]);
}

std::uint64_t hash_of(const SentMessage& sent) {
  const auto& content = sent.message.content;
  std::vector<std::uint64_t> fields = {sent.from, sent.incarnation, sent.message.to, content.index()};
  if (const auto* request = std::get_if<QuotaRequest>(&content))
    fields.insert(fields.end(), {request->sequence, request->renews, request->amount});
  if (const auto* grant = std::get_if<QuotaGrant>(&content))
    fields.insert(fields.end(), {grant->incarnation, grant->sequence, grant->amount});
  if (const auto* returned = std::get_if<QuotaReturn>(&content)) fields.push_back(returned->sequence);
  return hash_of(fields);
}

}  // namespace

LendingFleet::LendingFleet(MemberIndex count, const Budget& shared_budget,
                           const LendingPolicy& lending_policy, std::vector<double> clock_rates)
    : incarnations(count, 1), rates(std::move(clock_rates)), budget(shared_budget), policy(lending_policy) {
  for (MemberIndex member = 0; member < count; ++member) {
    members.emplace_back(policy, member, count, 1, clock(member), replicated_state::Random(member + 1));
    members[member].open(clock(member), budget, BudgetStart::kObserved);
  }
  real_time += seconds(20);  // past the time after a start in which members do not lend
}

Time LendingFleet::clock(MemberIndex member) const {
  const double ticks = static_cast<double>(real_time.count()) * rates[member];
  return Time(static_cast<Time::rep>(ticks)) + seconds(1000 * member);
}

void LendingFleet::send(MemberIndex from, const std::vector<QuotaMessage>& messages) {
  for (const QuotaMessage& message : messages) in_flight.push_back({from, incarnations[from], message});
}

void LendingFleet::tick(MemberIndex member, const std::vector<MemberIndex>& live_members) {
  send(member, members[member].tick(clock(member), live_members));
}

void LendingFleet::arrive(std::size_t index, Arrival arrival) {
  const SentMessage sent = in_flight[index];
  if (arrival == Arrival::kOnce) in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(index));
  const MemberIndex receiver = sent.message.to;
  send(receiver, receive(members[receiver], clock(receiver), sent));
}

void LendingFleet::restart(MemberIndex member) {
  ++restarts;
  const std::uint64_t amount = demand(member);
  members[member] = BoundedCounter(policy, member, count(), ++incarnations[member], clock(member),
                                   replicated_state::Random(member + 1));
  members[member].open(clock(member), budget, BudgetStart::kUnknown);
  if (amount != 0) set_demand(member, amount);
}

std::uint64_t LendingFleet::held() const {
  std::uint64_t sum = spent;
  for (MemberIndex member = 0; member < count(); ++member)
    sum += budget.type == BudgetType::kRate ? rate(member) : available(member);
  return sum;
}

std::uint64_t LendingFleet::hash() const {
  std::vector<std::uint64_t> fields = {spent, static_cast<std::uint64_t>(restarts),
                                       static_cast<std::uint64_t>(repeats)};
  for (MemberIndex member = 0; member < count(); ++member)
    fields.push_back(members[member].state_hash(clock(member)));
  std::vector<std::uint64_t> message_hashes;
  for (const SentMessage& sent : in_flight) message_hashes.push_back(hash_of(sent));
  std::sort(message_hashes.begin(), message_hashes.end());
  fields.insert(fields.end(), message_hashes.begin(), message_hashes.end());
  return hash_of(fields);
}

std::uint64_t LendingFleet::available(MemberIndex member) const {
  return members[member].available(clock(member), budget.id);
}

std::uint64_t LendingFleet::rate(MemberIndex member) const {
  return members[member].rate(clock(member), budget.id);
}

std::uint64_t LendingFleet::demand(MemberIndex member) const {
  return members[member].allocations().begin()->second.demand;
}

void LendingFleet::set_demand(MemberIndex member, std::uint64_t amount) {
  members[member].set_demand(budget.id, amount);
}

bool LendingFleet::consume(MemberIndex member, std::uint64_t amount) {
  return members[member].consume(clock(member), budget.id, amount);
}

TwoMembers::TwoMembers()
    : fleet(2, Budget{{1, 7}, BudgetType::kRate, 1000, seconds(10)}, LendingPolicy{},
            std::vector<double>(2, 1.0)) {}

void TwoMembers::deliver_all() {
  while (!fleet.in_flight.empty()) fleet.arrive(0, LendingFleet::Arrival::kOnce);
}

void TwoMembers::run(Time time) {
  for (const Time end = fleet.real_time + time; fleet.real_time < end;) {
    fleet.real_time += milliseconds(100);
    for (const MemberIndex member : {0U, 1U}) fleet.tick(member, {1 - member});
    deliver_all();
  }
}

}  // namespace dispatcher::testing
