#include "replicated_state/bounded_counter.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <iterator>
#include <utility>

namespace dispatcher::replicated_state {

namespace {

constexpr Duration kMaxBurst = std::chrono::minutes(10);         // bounds the accrual within 64 bits
constexpr int kMaxBackoffFactor = 16;                            // of the first pause between repetitions
constexpr Duration kClosedRetention = std::chrono::minutes(10);  // a closed budget of units stays closed

bool is_within_bounds(const Budget& budget) {
  return budget.amount <= kMaxAmount && budget.max_burst >= Duration::zero() && budget.max_burst <= kMaxBurst;
}

}  // namespace

BoundedCounter::BoundedCounter(const LendingPolicy& policy, MemberIndex self, MemberIndex count,
                               std::uint64_t incarnation, Time now, Random random)
    : policy_(policy),
      self_(self),
      count_(count),
      incarnation_(incarnation),
      lending_starts_at_(policy.lending_enabled ? now + lease_with_drift(kMaxLease, policy.max_drift) : now),
      random_(random) {}

const QuotaAllocation* BoundedCounter::find(const BudgetId& id) const {
  const auto it = allocations_.find(id);
  return it == allocations_.end() ? nullptr : &it->second;
}

QuotaAllocation* BoundedCounter::find(const BudgetId& id) {
  const auto it = allocations_.find(id);
  return it == allocations_.end() ? nullptr : &it->second;
}

bool BoundedCounter::open(Time now, const Budget& budget, bool saw_start) {
  if (!is_within_bounds(budget)) return false;
  if (QuotaAllocation* existing = find(budget.id)) {
    if (budget.type == BudgetType::kConsumable || existing->is_consumable()) return !existing->is_closed;
    existing->is_closed = false;
    return true;
  }
  if (allocations_.size() >= policy_.max_budgets) return false;
  QuotaAllocation& allocation = allocations_[budget.id];
  allocation.budget = budget;
  const bool has_initial_quota = budget.type == BudgetType::kRate || saw_start;
  allocation.units = has_initial_quota ? initial_quota(budget, self_, count_) : 0;
  allocation.reserved_units =
      static_cast<std::uint64_t>(static_cast<double>(allocation.units) * policy_.reserved_fraction);
  allocation.lending_enabled = policy_.lending_enabled;
  allocation.lending_starts_at = lending_starts_at_;
  allocation.accrued_at = now;
  allocation.next_request_at = now;
  return true;
}

void BoundedCounter::close(Time now, const BudgetId& id) {
  QuotaAllocation* allocation = find(id);
  if (allocation == nullptr || allocation->is_closed) return;
  accrue(now, *allocation);
  allocation->is_closed = true;
  allocation->demand = 0;
  const Duration longest_loan = lease_with_drift(kMaxLease, policy_.max_drift);
  allocation->forget_at = now + (allocation->is_consumable() ? kClosedRetention : longest_loan);
}

std::uint64_t BoundedCounter::rate(Time now, const BudgetId& id) const {
  const QuotaAllocation* allocation = find(id);
  if (allocation == nullptr || allocation->is_closed || allocation->is_consumable()) return 0;
  return allocation->held(now);
}

std::uint64_t BoundedCounter::available(Time now, const BudgetId& id) const {
  const QuotaAllocation* allocation = find(id);
  return allocation == nullptr ? 0 : allocation->available(now);
}

bool BoundedCounter::consume(Time now, const BudgetId& id, std::uint64_t amount) {
  QuotaAllocation* allocation = find(id);
  if (allocation == nullptr || allocation->is_closed || allocation->available(now) < amount) return false;
  accrue(now, *allocation);
  allocation->consume(amount);
  return true;
}

void BoundedCounter::set_demand(const BudgetId& id, std::uint64_t amount) {
  QuotaAllocation* allocation = find(id);
  if (allocation == nullptr || allocation->is_closed) return;
  allocation->demand = std::min(amount, allocation->budget.amount);
}

// The lender's side. A grant is half of what may be lent, so that several borrowers find some.

std::optional<std::uint64_t> BoundedCounter::grant_units(QuotaAllocation& allocation, MemberIndex borrower,
                                                         std::uint64_t incarnation,
                                                         const QuotaRequest& request) {
  LentQuota& latest = allocation.lent[borrower];
  const auto answered = std::pair(latest.incarnation, latest.sequence);
  const auto requested = std::pair(incarnation, request.sequence);
  if (requested < answered) return std::nullopt;  // late: the borrower no longer waits for it
  if (requested == answered) return latest.amount;
  const std::uint64_t lendable = allocation.lendable(allocation.accrued_at);
  const std::uint64_t amount = std::min(request.amount, (lendable + 1) / 2);
  allocation.units -= amount;
  latest = {incarnation, request.sequence, amount, std::nullopt};
  return amount;
}

std::optional<std::uint64_t> BoundedCounter::grant_rate(Time now, QuotaAllocation& allocation,
                                                        MemberIndex borrower, std::uint64_t incarnation,
                                                        const QuotaRequest& request) const {
  LentQuota& latest = allocation.lent[borrower];
  const auto answered = std::pair(latest.incarnation, latest.sequence);
  const auto requested = std::pair(incarnation, request.sequence);
  if (requested < answered) return std::nullopt;
  if (requested == answered) return latest.amount;  // the answer was lost
  const bool is_running = latest.is_running(now);
  const Time until = now + lease_with_drift(policy_.lease, policy_.max_drift);
  if (request.renews != 0) {
    const bool is_same_loan = is_running && incarnation == latest.incarnation &&
                              request.renews == latest.sequence && request.amount == latest.amount;
    if (!is_same_loan || allocation.is_closed) return 0;
    if (allocation.demand > allocation.units - allocation.lent_total(now)) return 0;
    latest.sequence = request.sequence;
    latest.until = until;
    return latest.amount;
  }
  if (is_running) return 0;  // one loan to a borrower at a time; it may be an earlier incarnation's
  const std::uint64_t amount = std::min(request.amount, (allocation.lendable(now) + 1) / 2);
  latest = {incarnation, request.sequence, amount, amount > 0 ? std::optional(until) : std::nullopt};
  return amount;
}

std::optional<QuotaGrant> BoundedCounter::answer_request(Time now, MemberIndex from,
                                                         std::uint64_t incarnation,
                                                         const QuotaRequest& request) {
  QuotaAllocation* allocation = find(request.budget);
  if (allocation == nullptr || request.sequence == 0)
    return QuotaGrant{request.budget, incarnation, request.sequence, 0, {}};
  accrue(now, *allocation);
  const auto amount = allocation->is_consumable() ? grant_units(*allocation, from, incarnation, request)
                                                  : grant_rate(now, *allocation, from, incarnation, request);
  if (!amount) return std::nullopt;
  ++(*amount > 0 ? counts_.granted : counts_.denied);
  const Duration lease = allocation->is_consumable() ? Duration{} : policy_.lease;
  return QuotaGrant{request.budget, incarnation, request.sequence, *amount, lease};
}

void BoundedCounter::accept_return(Time now, MemberIndex from, std::uint64_t incarnation,
                                   const QuotaReturn& returned) {
  QuotaAllocation* allocation = find(returned.budget);
  if (allocation == nullptr || allocation->is_consumable()) return;
  const auto it = allocation->lent.find(from);
  if (it == allocation->lent.end()) return;
  LentQuota& loan = it->second;
  if (loan.incarnation != incarnation || loan.sequence != returned.sequence || !loan.until) return;
  accrue(now, *allocation);
  loan.until.reset();
  ++counts_.returned;
}

// The borrower's side.

void BoundedCounter::accept_grant(Time now, MemberIndex from, const QuotaGrant& grant) {
  QuotaAllocation* allocation = find(grant.budget);
  const bool is_expected = allocation != nullptr && allocation->pending &&
                           allocation->pending->lender == from &&
                           allocation->pending->request.sequence == grant.sequence;
  if (!is_expected || grant.incarnation != incarnation_ ||
      grant.amount > allocation->pending->request.amount || grant.lease > kMaxLease) {
    ++counts_.ignored;
    return;
  }
  const PendingRequest pending = *std::exchange(allocation->pending, std::nullopt);
  allocation->next_request_at = now + policy_.request_pause;
  accrue(now, *allocation);
  if (grant.amount == 0) return;
  if (allocation->is_consumable()) {
    allocation->units += grant.amount;
    ++counts_.borrowed;
    return;
  }
  const Time until = pending.first_sent_at + grant.lease;
  if (until <= now) {
    ++counts_.expired;
    return;
  }
  allocation->borrowed[from] = {grant.sequence, grant.amount, until};
  ++counts_.borrowed;
}

// A loan that has not arrived is awaited for half its lease at most. The lender may have it back at once,
// unless the request would have renewed one that is in use.
void BoundedCounter::abandon_request(Time now, QuotaAllocation& allocation,
                                     std::vector<QuotaMessage>& out) const {
  if (!allocation.pending || allocation.is_consumable()) return;
  if (now < allocation.pending->first_sent_at + policy_.lease / 2) return;
  const PendingRequest pending = *std::exchange(allocation.pending, std::nullopt);
  allocation.next_request_at = now + policy_.request_pause;
  if (pending.request.renews != 0) return;
  out.push_back({pending.lender, QuotaReturn{allocation.budget.id, pending.request.sequence}});
}

// Loans that have expired were dropped when tick() accrued.
void BoundedCounter::return_unneeded(Time now, QuotaAllocation& allocation, std::vector<QuotaMessage>& out) {
  for (auto it = allocation.borrowed.begin(); it != allocation.borrowed.end();) {
    const auto& [lender, loan] = *it;
    const std::uint64_t held_without = allocation.held(now) - loan.amount;
    if (!allocation.is_closed && held_without < allocation.demand) {
      ++it;
      continue;
    }
    if (allocation.pending && allocation.pending->lender == lender) allocation.pending.reset();
    out.push_back({lender, QuotaReturn{allocation.budget.id, loan.sequence}});
    it = allocation.borrowed.erase(it);
  }
}

void BoundedCounter::retry_request(Time now, PendingRequest& pending, std::vector<QuotaMessage>& out) const {
  if (now < pending.retry_at) return;
  pending.backoff = std::min(pending.backoff * 2, policy_.request_retry * kMaxBackoffFactor);
  pending.retry_at = now + pending.backoff;
  out.push_back({pending.lender, pending.request});
}

// The lender of the loan that ends first, of those in the second half of their lease.
std::optional<MemberIndex> BoundedCounter::lender_to_renew(Time now,
                                                           const QuotaAllocation& allocation) const {
  std::optional<MemberIndex> first;
  for (const auto& [lender, loan] : allocation.borrowed) {
    if (loan.until - now > policy_.lease / 2) continue;
    if (first && allocation.borrowed.at(*first).until <= loan.until) continue;
    first = lender;
  }
  return first;
}

std::optional<MemberIndex> BoundedCounter::draw_new_lender(const QuotaAllocation& allocation,
                                                           const std::vector<MemberIndex>& live_members) {
  std::vector<MemberIndex> others;
  for (const MemberIndex member : live_members) {
    if (!allocation.borrowed.contains(member)) others.push_back(member);
  }
  if (others.empty()) return std::nullopt;
  boost::random::uniform_int_distribution<std::size_t> draw(0, others.size() - 1);
  return others[draw(random_)];
}

void BoundedCounter::send_request(Time now, QuotaAllocation& allocation,
                                  const std::vector<MemberIndex>& live_members,
                                  std::vector<QuotaMessage>& out) {
  if (now < allocation.next_request_at || allocation.is_closed || !policy_.lending_enabled) return;
  QuotaRequest request{allocation.budget.id, 0, 0, 0};
  std::optional<MemberIndex> lender = lender_to_renew(now, allocation);
  if (lender) {
    const BorrowedQuota& loan = allocation.borrowed.at(*lender);
    request.renews = loan.sequence;
    request.amount = loan.amount;
  } else {
    const std::uint64_t held = allocation.held(now);
    if (held >= allocation.demand) return;
    request.amount = allocation.demand - held;
    lender = draw_new_lender(allocation, live_members);
  }
  if (!lender) {
    allocation.next_request_at = now + policy_.request_pause;
    return;
  }
  request.sequence = ++sequence_;
  allocation.pending =
      PendingRequest{*lender, request, now, now + policy_.request_retry, policy_.request_retry};
  ++counts_.requests;
  out.push_back({*lender, request});
}

// Events.

std::vector<QuotaMessage> BoundedCounter::tick(Time now, const std::vector<MemberIndex>& live_members) {
  std::vector<QuotaMessage> out;
  for (auto it = allocations_.begin(); it != allocations_.end();) {
    QuotaAllocation& allocation = it->second;
    accrue(now, allocation);
    abandon_request(now, allocation, out);
    return_unneeded(now, allocation, out);
    if (allocation.pending) {
      retry_request(now, *allocation.pending, out);
    } else {
      send_request(now, allocation, live_members, out);
    }
    const bool is_over =
        allocation.is_closed && allocation.forget_at <= now && allocation.lent_total(now) == 0;
    it = is_over ? allocations_.erase(it) : std::next(it);
  }
  return out;
}

std::vector<QuotaMessage> BoundedCounter::on_received(Time now, MemberIndex from, std::uint64_t incarnation,
                                                      const std::vector<QuotaRequest>& requests,
                                                      const std::vector<QuotaGrant>& grants,
                                                      const std::vector<QuotaReturn>& returns) {
  std::vector<QuotaMessage> out;
  for (const QuotaReturn& returned : returns) accept_return(now, from, incarnation, returned);
  for (const QuotaRequest& request : requests) {
    if (auto grant = answer_request(now, from, incarnation, request)) out.push_back({from, *grant});
  }
  for (const QuotaGrant& grant : grants) accept_grant(now, from, grant);
  return out;
}

void BoundedCounter::on_member_lost(MemberIndex member) {
  for (auto& [id, allocation] : allocations_) {
    if (allocation.pending && allocation.pending->lender == member) allocation.pending.reset();
  }
}

void BoundedCounter::set_own_incarnation(std::uint64_t incarnation) {
  incarnation_ = incarnation;
  for (auto& [id, allocation] : allocations_) allocation.pending.reset();
}

std::optional<Time> BoundedCounter::next_deadline() const {
  std::optional<Time> earliest;
  const auto consider = [&](Time at) { earliest = earliest ? std::min(*earliest, at) : at; };
  for (const auto& [id, allocation] : allocations_) {
    if (allocation.is_closed) consider(allocation.forget_at);
    if (allocation.pending) {
      consider(allocation.pending->retry_at);
    } else if (!allocation.is_closed && policy_.lending_enabled) {
      if (allocation.demand > allocation.held(allocation.accrued_at)) consider(allocation.next_request_at);
      for (const auto& [lender, loan] : allocation.borrowed)
        consider(std::max(allocation.next_request_at, loan.until - policy_.lease / 2));
    }
    for (const auto& [lender, loan] : allocation.borrowed) consider(loan.until);
    for (const auto& [borrower, loan] : allocation.lent) {
      if (loan.is_running(allocation.accrued_at)) consider(*loan.until);
    }
  }
  return earliest;
}

std::uint64_t BoundedCounter::state_hash(Time now) const {
  std::vector<std::uint64_t> state = {incarnation_, sequence_};
  const auto add = [&](std::initializer_list<std::uint64_t> values) {
    state.insert(state.end(), values.begin(), values.end());
  };
  const auto add_time = [&](Time at) { state.push_back(static_cast<std::uint64_t>((at - now).count())); };
  add_time(std::max(now, lending_starts_at_));
  for (const auto& [id, allocation] : allocations_) {
    add({id.kind, id.key, allocation.units, allocation.demand, allocation.accrued, allocation.is_closed,
         allocation.pending.has_value()});
    add_time(allocation.accrued_at);
    add_time(std::max(now, allocation.next_request_at));
    for (const auto& [borrower, loan] : allocation.lent) {
      add({borrower, loan.incarnation, loan.sequence, loan.amount, loan.is_running(now)});
      if (loan.is_running(now)) add_time(*loan.until);
    }
    for (const auto& [lender, loan] : allocation.borrowed) {
      add({lender, loan.sequence, loan.amount});
      add_time(loan.until);
    }
    if (!allocation.pending) continue;
    const PendingRequest& pending = *allocation.pending;
    add({pending.lender, pending.request.sequence, pending.request.renews, pending.request.amount});
    add_time(pending.first_sent_at);
    add_time(pending.retry_at);
    state.push_back(static_cast<std::uint64_t>(pending.backoff.count()));
  }
  return XXH3_64bits(state.data(), state.size() * sizeof state[0]);
}

}  // namespace dispatcher::replicated_state
