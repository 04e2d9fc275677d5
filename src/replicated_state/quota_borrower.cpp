#include "replicated_state/quota_borrower.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

namespace dispatcher::replicated_state {

namespace {

constexpr int kMaxBackoffFactor = 16;  // the maximum backoff, as a multiple of the initial one

}  // namespace

bool QuotaBorrower::is_expected(const QuotaAllocation& allocation, MemberIndex from,
                                const QuotaGrant& grant) {
  if (!allocation.pending) return false;
  const PendingRequest& pending = *allocation.pending;
  return pending.lender == from && pending.request.sequence == grant.sequence &&
         grant.amount <= pending.request.amount && grant.lease <= kMaxLease;
}

QuotaBorrower::GrantResult QuotaBorrower::accept_grant(Time now, QuotaAllocation& allocation,
                                                       const QuotaGrant& grant) const {
  const PendingRequest pending = *std::exchange(allocation.pending, std::nullopt);
  allocation.next_request_at = now + policy_.request_pause;
  if (grant.amount == 0) return GrantResult::kDenied;
  if (allocation.is_consumable()) {
    allocation.units += grant.amount;
    return GrantResult::kBorrowed;
  }
  const Time until = pending.first_sent_at + grant.lease;
  if (until <= now) return GrantResult::kExpired;
  allocation.borrowed[pending.lender] = {grant.sequence, grant.amount, until};
  return GrantResult::kBorrowed;
}

void QuotaBorrower::return_unneeded(Time now, QuotaAllocation& allocation,
                                    std::vector<QuotaMessage>& out) const {
  abandon_request(now, allocation, out);
  return_loans(now, allocation, out);
}

// Abandons a request that has been pending for half a lease. The loan may have been granted already, so it is
// returned, unless the request was to renew a loan that is in use.
void QuotaBorrower::abandon_request(Time now, QuotaAllocation& allocation,
                                    std::vector<QuotaMessage>& out) const {
  if (!allocation.pending || allocation.is_consumable()) return;
  if (now < allocation.pending->first_sent_at + policy_.lease / 2) return;
  const PendingRequest pending = *std::exchange(allocation.pending, std::nullopt);
  allocation.next_request_at = now + policy_.request_pause;
  if (pending.request.renews != 0) return;
  out.push_back({pending.lender, QuotaReturn{allocation.budget.id, pending.request.sequence}});
}

// Returns loans that are no longer needed. accrue() has already removed the expired ones.
void QuotaBorrower::return_loans(Time now, QuotaAllocation& allocation, std::vector<QuotaMessage>& out) {
  for (auto it = allocation.borrowed.begin(); it != allocation.borrowed.end();) {
    const auto& [lender, loan] = *it;
    const std::uint64_t total_without_loan = allocation.total(now) - loan.amount;
    if (!allocation.is_closed && total_without_loan < allocation.demand) {
      ++it;
      continue;
    }
    if (allocation.pending && allocation.pending->lender == lender) allocation.pending.reset();
    out.push_back({lender, QuotaReturn{allocation.budget.id, loan.sequence}});
    it = allocation.borrowed.erase(it);
  }
}

void QuotaBorrower::retry_request(Time now, PendingRequest& pending, std::vector<QuotaMessage>& out) const {
  if (now < pending.retry_at) return;
  pending.backoff = std::min(pending.backoff * 2, policy_.request_retry * kMaxBackoffFactor);
  pending.retry_at = now + pending.backoff;
  out.push_back({pending.lender, pending.request});
}

// Returns the lender of the loan that ends first among the loans in the second half of their lease.
std::optional<MemberIndex> QuotaBorrower::lender_to_renew(Time now, const QuotaAllocation& allocation) const {
  std::optional<MemberIndex> first;
  for (const auto& [lender, loan] : allocation.borrowed) {
    if (loan.until - now > policy_.lease / 2) continue;
    if (first && allocation.borrowed.at(*first).until <= loan.until) continue;
    first = lender;
  }
  return first;
}

std::optional<MemberIndex> QuotaBorrower::draw_new_lender(const QuotaAllocation& allocation,
                                                          const std::vector<MemberIndex>& live_members) {
  std::vector<MemberIndex> others;
  for (const MemberIndex member : live_members) {
    if (!allocation.borrowed.contains(member)) others.push_back(member);
  }
  if (others.empty()) return std::nullopt;
  boost::random::uniform_int_distribution<std::size_t> draw(0, others.size() - 1);
  return others[draw(random_)];
}

std::optional<QuotaMessage> QuotaBorrower::make_request(Time now, QuotaAllocation& allocation,
                                                        const std::vector<MemberIndex>& live_members) {
  if (now < allocation.next_request_at || allocation.is_closed || !policy_.lending_enabled)
    return std::nullopt;
  QuotaRequest request{allocation.budget.id, 0, 0, 0};
  std::optional<MemberIndex> lender = lender_to_renew(now, allocation);
  if (lender) {
    const BorrowedQuota& loan = allocation.borrowed.at(*lender);
    request.renews = loan.sequence;
    request.amount = loan.amount;
  } else {
    const std::uint64_t total = allocation.total(now);
    if (total >= allocation.demand) return std::nullopt;
    request.amount = allocation.demand - total;
    lender = draw_new_lender(allocation, live_members);
  }
  if (!lender) {
    allocation.next_request_at = now + policy_.request_pause;
    return std::nullopt;
  }
  request.sequence = ++sequence_;
  allocation.pending =
      PendingRequest{*lender, request, now, now + policy_.request_retry, policy_.request_retry};
  return QuotaMessage{*lender, request};
}

std::optional<Time> QuotaBorrower::next_deadline(const QuotaAllocation& allocation) const {
  if (allocation.pending) return allocation.pending->retry_at;
  if (allocation.is_closed || !policy_.lending_enabled) return std::nullopt;
  std::optional<Time> earliest;
  if (allocation.demand > allocation.total(allocation.accrued_at)) earliest = allocation.next_request_at;
  for (const auto& [lender, loan] : allocation.borrowed) {
    const Time renewal_at = std::max(allocation.next_request_at, loan.until - policy_.lease / 2);
    earliest = earliest ? std::min(*earliest, renewal_at) : renewal_at;
  }
  return earliest;
}

}  // namespace dispatcher::replicated_state
