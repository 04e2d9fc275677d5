// The borrower's side of the lending protocol (see bounded_counter.hpp). It determines when and from which
// member quota is requested, when a loan is renewed or returned, and which grants are accepted.
#ifndef DISPATCHER_REPLICATED_STATE_QUOTA_BORROWER_HPP_
#define DISPATCHER_REPLICATED_STATE_QUOTA_BORROWER_HPP_

#include <boost/random/taus88.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "replicated_state/quota_allocation.hpp"

namespace dispatcher::replicated_state {

using Random = boost::random::taus88;  // small and reproducible; seeded by the owner

// Borrows quota for the allocations of one process, which are passed in. accrue(now) must be called on an
// allocation before it is passed to any function except next_deadline(). Part of a BoundedCounter; used on
// its thread, with no callbacks.
class QuotaBorrower {
 public:
  QuotaBorrower(const LendingPolicy& policy, Random random) : policy_(policy), random_(random) {}

  // Returns whether the grant answers the allocation's pending request.
  [[nodiscard]] static bool is_expected(const QuotaAllocation& allocation, MemberIndex from,
                                        const QuotaGrant& grant);
  // The result of a grant. kExpired means that it arrived after the end of its lease.
  enum class GrantResult : std::uint8_t { kDenied, kBorrowed, kExpired };
  // Completes the pending request with the grant, for which is_expected() must be true.
  GrantResult accept_grant(Time now, QuotaAllocation& allocation, const QuotaGrant& grant) const;

  // Abandons a request that has been unanswered for too long, and returns loans that are no longer needed.
  void return_unneeded(Time now, QuotaAllocation& allocation, std::vector<QuotaMessage>& out) const;
  // Repeats the pending request if its backoff has passed.
  void retry_request(Time now, PendingRequest& pending, std::vector<QuotaMessage>& out) const;
  // Returns a new request if a loan must be renewed or the demand exceeds the quota, and makes it the pending
  // request. In the latter case the lender is a random live member from which nothing is borrowed yet.
  [[nodiscard]] std::optional<QuotaMessage> make_request(Time now, QuotaAllocation& allocation,
                                                         const std::vector<MemberIndex>& live_members);
  // Returns when a request or its repetition is due next, or nullopt if neither is.
  [[nodiscard]] std::optional<Time> next_deadline(const QuotaAllocation& allocation) const;

  // Returns the sequence number of the latest request, or 0 before the first one.
  [[nodiscard]] std::uint32_t sequence() const { return sequence_; }

 private:
  void abandon_request(Time now, QuotaAllocation& allocation, std::vector<QuotaMessage>& out) const;
  static void return_loans(Time now, QuotaAllocation& allocation, std::vector<QuotaMessage>& out);
  [[nodiscard]] std::optional<MemberIndex> lender_to_renew(Time now, const QuotaAllocation& allocation) const;
  [[nodiscard]] std::optional<MemberIndex> draw_new_lender(const QuotaAllocation& allocation,
                                                           const std::vector<MemberIndex>& live_members);

  LendingPolicy policy_;
  Random random_;
  std::uint32_t sequence_ = 0;
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_QUOTA_BORROWER_HPP_
