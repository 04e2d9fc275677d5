// The lender's side of the lending protocol (see bounded_counter.hpp): how much quota a request is granted,
// and which loan a message returns early. The functions work on one allocation; the time is passed in.
#ifndef DISPATCHER_REPLICATED_STATE_QUOTA_LENDER_HPP_
#define DISPATCHER_REPLICATED_STATE_QUOTA_LENDER_HPP_

#include <cstdint>
#include <optional>

#include "replicated_state/quota_allocation.hpp"

namespace dispatcher::replicated_state {

// The sender of a request, a process of another member.
struct Borrower {
  MemberIndex member = 0;
  std::uint64_t incarnation = 0;
};

// Transfers or lends quota for a request. accrue(now) must be called on the allocation before. Returns the
// amount granted, which is 0 if the request is denied, or nullopt if the request is outdated, so that its
// borrower no longer expects an answer. A repetition of the latest request gets the same answer, because that
// answer may have been lost. A new grant is at most half of what may be lent (rounded up), so that several
// borrowers can be served.
[[nodiscard]] std::optional<std::uint64_t> grant_request(Time now, QuotaAllocation& allocation,
                                                         const LendingPolicy& policy,
                                                         const Borrower& borrower,
                                                         const QuotaRequest& request);

// Returns the loan of a rate that this message returns, or null if the borrower has no such loan with the
// message's sequence number.
[[nodiscard]] LentQuota* find_returned_loan(QuotaAllocation& allocation, const Borrower& borrower,
                                            const QuotaReturn& returned);

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_QUOTA_LENDER_HPP_
