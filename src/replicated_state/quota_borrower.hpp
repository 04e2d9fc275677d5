// The borrower's side of the lending protocol (see bounded_counter.hpp): when quota is requested and from
// which member, when a loan is renewed or returned, and which grants are accepted.
#ifndef DISPATCHER_REPLICATED_STATE_QUOTA_BORROWER_HPP_
#define DISPATCHER_REPLICATED_STATE_QUOTA_BORROWER_HPP_

#include <boost/random/taus88.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "replicated_state/quota_allocation.hpp"

namespace dispatcher::replicated_state {

using Random = boost::random::taus88;  // small and reproducible; seeded by the owner

// Borrows for the allocations of one process, which are passed in. All calls but next_deadline() come after
// the allocation's accrue(now). Part of a BoundedCounter; used on its thread, with no callbacks.
class QuotaBorrower {
 public:
  QuotaBorrower(const LendingPolicy& policy, Random random) : policy_(policy), random_(random) {}

  // Whether the grant answers the allocation's pending request.
  [[nodiscard]] static bool is_expected(const QuotaAllocation& allocation, MemberIndex from,
                                        const QuotaGrant& grant);
  // The result of a grant. kExpired: it arrived after the end of its lease.
  enum class GrantResult : std::uint8_t { kDenied, kBorrowed, kExpired };
  // Ends the pending request by the grant, which is_expected().
  GrantResult accept_grant(Time now, QuotaAllocation& allocation, const QuotaGrant& grant) const;

  // Abandons a request that was unanswered for too long, and returns loans that are no longer needed.
  void return_unneeded(Time now, QuotaAllocation& allocation, std::vector<QuotaMessage>& out) const;
  // Repeats the pending request if that is due, with backoff.
  void retry_request(Time now, PendingRequest& pending, std::vector<QuotaMessage>& out) const;
  // A new request, where a loan must be renewed or where the demand exceeds the quota; it is pending from now
  // on. In the latter case a random live member is the lender.
  [[nodiscard]] std::optional<QuotaMessage> make_request(Time now, QuotaAllocation& allocation,
                                                         const std::vector<MemberIndex>& live_members);
  // When a request or its repetition is due next; none where neither is.
  [[nodiscard]] std::optional<Time> next_deadline(const QuotaAllocation& allocation) const;

  // Of the latest request; 0 before the first.
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
