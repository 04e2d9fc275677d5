// The lender's side of the lending protocol (see bounded_counter.hpp): how much a request is granted, and
// when a loan ends early. Functions on one allocation; the clock is passed in.
#ifndef DISPATCHER_REPLICATED_STATE_QUOTA_LENDER_HPP_
#define DISPATCHER_REPLICATED_STATE_QUOTA_LENDER_HPP_

#include <cstdint>
#include <optional>

#include "replicated_state/quota_allocation.hpp"

namespace dispatcher::replicated_state {

// The sender of a request: a process of another member.
struct Borrower {
  MemberIndex member = 0;
  std::uint64_t incarnation = 0;
};

// Transfers or lends quota for a request, after the allocation's accrue(now). Returns the amount granted, 0
// where the request is denied; none where the request is outdated, so that its borrower no longer expects an
// answer. A repetition of the latest request gets the same answer, as that may have been lost. A grant is at
// most half of what may be lent, so that several borrowers can be served.
[[nodiscard]] std::optional<std::uint64_t> grant_request(Time now, QuotaAllocation& allocation,
                                                         const LendingPolicy& policy,
                                                         const Borrower& borrower,
                                                         const QuotaRequest& request);

// The loan of a rate that this message returns; null where the borrower has no running loan with its
// sequence.
[[nodiscard]] LentQuota* find_returned_loan(QuotaAllocation& allocation, const Borrower& borrower,
                                            const QuotaReturn& returned);

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_QUOTA_LENDER_HPP_
