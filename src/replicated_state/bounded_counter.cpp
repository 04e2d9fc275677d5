#include "replicated_state/bounded_counter.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace dispatcher::replicated_state {

namespace {

constexpr Duration kMaxBurst = std::chrono::minutes(10);  // keeps the accrued amount within 64 bits
// How long a closed consumable budget is remembered, so that a late open() does not give the process its
// initial quota again.
constexpr Duration kClosedRetention = std::chrono::minutes(10);

bool is_within_bounds(const Budget& budget) {
  return budget.amount <= kMaxAmount && budget.max_burst >= Duration::zero() && budget.max_burst <= kMaxBurst;
}

std::uint64_t reserved_part(std::uint64_t units, const LendingPolicy& policy) {
  return static_cast<std::uint64_t>(static_cast<double>(units) * policy.reserved_fraction);
}

// Collects the values that determine future behaviour, with times relative to `now`.
class StateFields {
 public:
  explicit StateFields(Time now) : now_(now) {}
  void add(std::initializer_list<std::uint64_t> values) {
    fields_.insert(fields_.end(), values.begin(), values.end());
  }
  void add_time(Time at) { fields_.push_back(static_cast<std::uint64_t>((at - now_).count())); }
  // Adds a time that has no effect on behaviour once it has passed.
  void add_future_time(Time at) { add_time(std::max(now_, at)); }
  void add(const QuotaAllocation& allocation);
  [[nodiscard]] std::uint64_t hash() const {
    return XXH3_64bits(fields_.data(), fields_.size() * sizeof fields_[0]);
  }

 private:
  void add(const PendingRequest& pending);

  Time now_;
  std::vector<std::uint64_t> fields_;
};

void StateFields::add(const PendingRequest& pending) {
  add({pending.lender, pending.request.sequence, pending.request.renews, pending.request.amount});
  add_time(pending.first_sent_at);
  add_time(pending.retry_at);
  add({static_cast<std::uint64_t>(pending.backoff.count())});
}

void StateFields::add(const QuotaAllocation& allocation) {
  const BudgetId& id = allocation.budget.id;
  add({id.kind, id.key, allocation.units, allocation.demand, allocation.accrued, allocation.is_closed,
       allocation.pending.has_value()});
  add_time(allocation.accrued_at);
  add_future_time(allocation.next_request_at);
  for (const auto& [borrower, loan] : allocation.lent) {
    add({borrower, loan.incarnation, loan.sequence, loan.amount, loan.is_running(now_)});
    if (loan.is_running(now_)) add_time(*loan.until);
  }
  for (const auto& [lender, loan] : allocation.borrowed) {
    add({lender, loan.sequence, loan.amount});
    add_time(loan.until);
  }
  if (allocation.pending) add(*allocation.pending);
}

}  // namespace

BoundedCounter::BoundedCounter(const LendingPolicy& policy, MemberIndex self, MemberIndex count,
                               std::uint64_t incarnation, Time now, Random random)
    : policy_(policy),
      self_(self),
      count_(count),
      incarnation_(incarnation),
      lending_starts_at_(policy.lending_enabled ? now + lease_with_drift(kMaxLease, policy.max_drift) : now),
      borrower_(policy, random) {}

const QuotaAllocation* BoundedCounter::find(const BudgetId& id) const {
  const auto it = allocations_.find(id);
  return it == allocations_.end() ? nullptr : &it->second;
}

QuotaAllocation* BoundedCounter::find(const BudgetId& id) {
  const auto it = allocations_.find(id);
  return it == allocations_.end() ? nullptr : &it->second;
}

bool BoundedCounter::open(Time now, const Budget& budget, BudgetStart start) {
  if (!is_within_bounds(budget)) return false;
  if (QuotaAllocation* existing = find(budget.id)) {
    if (budget.type == BudgetType::kConsumable || existing->is_consumable()) return !existing->is_closed;
    existing->is_closed = false;
    return true;
  }
  if (allocations_.size() >= policy_.max_budgets) return false;
  QuotaAllocation& allocation = allocations_[budget.id];
  allocation.budget = budget;
  const bool has_initial_quota = budget.type == BudgetType::kRate || start == BudgetStart::kObserved;
  allocation.units = has_initial_quota ? initial_quota(budget, self_, count_) : 0;
  allocation.reserved_units = reserved_part(allocation.units, policy_);
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
  return allocation->total(now);
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

// Messages.

std::optional<QuotaGrant> BoundedCounter::answer_request(Time now, const Borrower& borrower,
                                                         const QuotaRequest& request) {
  QuotaGrant grant{request.budget, borrower.incarnation, request.sequence, 0, {}};
  QuotaAllocation* allocation = find(request.budget);
  if (allocation == nullptr || request.sequence == 0) return grant;
  accrue(now, *allocation);
  const auto amount = grant_request(now, *allocation, policy_, borrower, request);
  if (!amount) return std::nullopt;
  ++(*amount > 0 ? counts_.granted : counts_.denied);
  grant.amount = *amount;
  if (!allocation->is_consumable()) grant.lease = policy_.lease;
  return grant;
}

void BoundedCounter::accept_return(Time now, const Borrower& borrower, const QuotaReturn& returned) {
  QuotaAllocation* allocation = find(returned.budget);
  if (allocation == nullptr) return;
  LentQuota* loan = find_returned_loan(*allocation, borrower, returned);
  if (loan == nullptr) return;
  accrue(now, *allocation);
  loan->until.reset();
  ++counts_.returned;
}

void BoundedCounter::accept_grant(Time now, MemberIndex from, const QuotaGrant& grant) {
  QuotaAllocation* allocation = find(grant.budget);
  if (allocation == nullptr || grant.incarnation != incarnation_ ||
      !QuotaBorrower::is_expected(*allocation, from, grant)) {
    ++counts_.ignored;
    return;
  }
  accrue(now, *allocation);
  switch (borrower_.accept_grant(now, *allocation, grant)) {
    case QuotaBorrower::GrantResult::kDenied:
      return;
    case QuotaBorrower::GrantResult::kBorrowed:
      ++counts_.borrowed;
      return;
    case QuotaBorrower::GrantResult::kExpired:
      ++counts_.expired;
      return;
  }
}

// Events.

std::vector<QuotaMessage> BoundedCounter::tick(Time now, const std::vector<MemberIndex>& live_members) {
  std::vector<QuotaMessage> out;
  for (auto it = allocations_.begin(); it != allocations_.end();) {
    QuotaAllocation& allocation = it->second;
    accrue(now, allocation);
    borrower_.return_unneeded(now, allocation, out);
    if (allocation.pending) {
      borrower_.retry_request(now, *allocation.pending, out);
    } else if (const auto request = borrower_.make_request(now, allocation, live_members)) {
      ++counts_.requests;
      out.push_back(*request);
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
  const Borrower sender{from, incarnation};
  std::vector<QuotaMessage> out;
  for (const QuotaReturn& returned : returns) accept_return(now, sender, returned);
  for (const QuotaRequest& request : requests) {
    if (const auto grant = answer_request(now, sender, request)) out.push_back({from, *grant});
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

std::optional<Time> BoundedCounter::next_deadline(const QuotaAllocation& allocation) const {
  std::optional<Time> earliest = borrower_.next_deadline(allocation);
  const auto consider = [&](Time at) { earliest = earliest ? std::min(*earliest, at) : at; };
  if (allocation.is_closed) consider(allocation.forget_at);
  for (const auto& [lender, loan] : allocation.borrowed) consider(loan.until);
  for (const auto& [borrower, loan] : allocation.lent) {
    if (loan.is_running(allocation.accrued_at)) consider(*loan.until);
  }
  return earliest;
}

std::optional<Time> BoundedCounter::next_deadline() const {
  std::optional<Time> earliest;
  for (const auto& [id, allocation] : allocations_) {
    const std::optional<Time> deadline = next_deadline(allocation);
    if (!deadline) continue;
    earliest = earliest ? std::min(*earliest, *deadline) : *deadline;
  }
  return earliest;
}

std::uint64_t BoundedCounter::state_hash(Time now) const {
  StateFields fields(now);
  fields.add({incarnation_, borrower_.sequence()});
  fields.add_future_time(lending_starts_at_);
  for (const auto& [id, allocation] : allocations_) fields.add(allocation);
  return fields.hash();
}

}  // namespace dispatcher::replicated_state
