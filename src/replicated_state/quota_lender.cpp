#include "replicated_state/quota_lender.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::replicated_state {

namespace {

std::uint64_t grant_amount(Time now, const QuotaAllocation& allocation, const QuotaRequest& request) {
  return std::min(request.amount, (allocation.lendable(now) + 1) / 2);
}

std::uint64_t grant_units(Time now, QuotaAllocation& allocation, LentQuota& latest, const Borrower& borrower,
                          const QuotaRequest& request) {
  const std::uint64_t amount = grant_amount(now, allocation, request);
  allocation.units -= amount;
  latest = {borrower.incarnation, request.sequence, amount, std::nullopt};
  return amount;
}

// Grants the same amount for another lease, unless the lender's own demand now exceeds the quota it has left.
std::uint64_t renew_loan(Time now, const QuotaAllocation& allocation, LentQuota& loan,
                         const Borrower& borrower, const QuotaRequest& request, Time until) {
  const bool is_same_loan = loan.is_running(now) && borrower.incarnation == loan.incarnation &&
                            request.renews == loan.sequence && request.amount == loan.amount;
  if (!is_same_loan || allocation.is_closed) return 0;
  if (allocation.demand > allocation.units - allocation.lent_total(now)) return 0;
  loan.sequence = request.sequence;
  loan.until = until;
  return loan.amount;
}

std::uint64_t lend_rate(Time now, const QuotaAllocation& allocation, const LendingPolicy& policy,
                        LentQuota& latest, const Borrower& borrower, const QuotaRequest& request) {
  const Time until = now + lease_with_drift(policy.lease, policy.max_drift);
  if (request.renews != 0) return renew_loan(now, allocation, latest, borrower, request, until);
  // A borrower has one loan at a time. The running one may be a loan to an earlier incarnation.
  if (latest.is_running(now)) return 0;
  const std::uint64_t amount = grant_amount(now, allocation, request);
  latest = {borrower.incarnation, request.sequence, amount, std::nullopt};
  if (amount > 0) latest.until = until;
  return amount;
}

}  // namespace

std::optional<std::uint64_t> grant_request(Time now, QuotaAllocation& allocation, const LendingPolicy& policy,
                                           const Borrower& borrower, const QuotaRequest& request) {
  LentQuota& latest = allocation.lent[borrower.member];
  const auto answered = std::pair(latest.incarnation, latest.sequence);
  const auto requested = std::pair(borrower.incarnation, request.sequence);
  if (requested < answered) return std::nullopt;
  if (requested == answered) return latest.amount;
  if (allocation.is_consumable()) return grant_units(now, allocation, latest, borrower, request);
  return lend_rate(now, allocation, policy, latest, borrower, request);
}

LentQuota* find_returned_loan(QuotaAllocation& allocation, const Borrower& borrower,
                              const QuotaReturn& returned) {
  if (allocation.is_consumable()) return nullptr;
  const auto it = allocation.lent.find(borrower.member);
  if (it == allocation.lent.end()) return nullptr;
  LentQuota& loan = it->second;
  const bool is_same_loan = loan.incarnation == borrower.incarnation && loan.sequence == returned.sequence;
  return is_same_loan && loan.until ? &loan : nullptr;
}

}  // namespace dispatcher::replicated_state
