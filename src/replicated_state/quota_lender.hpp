// The lender's side of the lending protocol (see bounded_counter.hpp): how much a request is granted, and
// when a loan ends early. Functions on one allocation; the clock is passed in.
#ifndef DISPATCHER_REPLICATED_STATE_QUOTA_LENDER_HPP_
#define DISPATCHER_REPLICATED_STATE_QUOTA_LENDER_HPP_

#include <cstdint>
#include <optional>

#include "replicated_state/quota_allocation.hpp"

namespace dispatcher::replicated_state {

// Who asks: a process of another member.
struct Borrower {
  MemberIndex member = 0;
  std::uint64_t incarnation = 0;
};

// Moves or lends quota as the request asks, after the allocation's accrue(now). Returns the amount granted, 0
// where it is denied; none: the request is late, and its borrower no longer waits for an answer. The latest
// request repeated is answered as before, as the answer may have been lost. A grant is half of what may be
// lent, so that several borrowers find some.
[[nodiscard]] std::optional<std::uint64_t> grant_request(Time now, QuotaAllocation& allocation,
                                                         const LendingPolicy& policy,
                                                         const Borrower& borrower,
                                                         const QuotaRequest& request);

// The loan of a rate that a borrower may return by this message; null: it has none that runs under this
// request.
[[nodiscard]] LentQuota* find_returned_loan(QuotaAllocation& allocation, const Borrower& borrower,
                                            const QuotaReturn& returned);

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_QUOTA_LENDER_HPP_
