// A bounded counter, also known as an escrow counter: members of a fleet have parts (quotas) of a budget
// whose sum never exceeds it, whatever messages are lost, late or repeated, and whatever processes are
// partitioned, stopped or restarted. After O'Neil, "The escrow transactional method" (1986), and Balegas et
// al., "Extending eventually consistent cloud databases for enforcing numeric invariants" (2015). No I/O: the
// clock, the randomness and the messages are passed in.
//
// Each member has an initial quota of each budget, by the configured count of members: the amount that it may
// use without any communication. Two types of budget:
// - kConsumable: units that are used once. A unit is transferred by a grant: the lender subtracts it before
// it
//   sends the grant, and the borrower adds it once; if the grant is lost, the unit is lost. A process has an
//   initial quota only of a budget whose start it observed: an earlier process of this member may have spent
//   that of any other, so the process has no units until it is granted some.
// - kRate: units a second, refilled continuously, that accrue for `max_burst` at most. A fraction of the
// quota
//   is reserved and never lent; the remainder is lent for a lease. The borrower counts the lease from before
//   its request, by its own clock, and checks the clock at each use, so that a stopped process has lost the
//   loan when it resumes. The lender reclaims the loan lease_with_drift(lease) after it granted it: its
//   clock, at most `max_drift` fast, has then passed the lease of a clock at most `max_drift` slow that began
//   no later. Network latency does not matter. A process that starts may follow one that had lent quota: it
//   uses the reserved part only, until lease_with_drift(kMaxLease) after its start. Accrual starts at zero.
//
// Clocks are steady, continue while the process is stopped, and are each within `max_drift` of the true rate.
// Readings of different clocks are never compared. docs/design/fleet-as-one.md has the proof.
#ifndef DISPATCHER_REPLICATED_STATE_BOUNDED_COUNTER_HPP_
#define DISPATCHER_REPLICATED_STATE_BOUNDED_COUNTER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "replicated_state/quota_allocation.hpp"
#include "replicated_state/quota_borrower.hpp"
#include "replicated_state/quota_lender.hpp"

namespace dispatcher::replicated_state {

// Whether a process knows that no earlier process can have used a budget: see kConsumable above.
enum class BudgetStart : std::uint8_t {
  kObserved,  // it was running before the budget existed
  kUnknown,   // an earlier process of this member may have used it
};

// One member's quotas of all budgets, and its part of the lending protocol. Owned by a GossipNode; used on
// one thread, with no callbacks.
class BoundedCounter {
 public:
  // `self` is below `count`; `incarnation` is this process's.
  BoundedCounter(const LendingPolicy& policy, MemberIndex self, MemberIndex count, std::uint64_t incarnation,
                 Time now, Random random);

  // Opens a budget: this process has a quota of it from now on. False where there are too many budgets, where
  // the budget exceeds its bounds, or where it is kConsumable and has been closed. No effect on an open
  // budget.
  bool open(Time now, const Budget& budget, BudgetStart start);
  // Ends the use of a budget, if it is open. Loans of it are returned with the next tick().
  void close(Time now, const BudgetId& id);

  // The amount that may be used now, in units; for kRate that is what has accrued.
  [[nodiscard]] std::uint64_t available(Time now, const BudgetId& id) const;
  // kRate: units a second, loans included.
  [[nodiscard]] std::uint64_t rate(Time now, const BudgetId& id) const;
  // Uses `amount` units. False, and no units are used, where fewer are available.
  bool consume(Time now, const BudgetId& id, std::uint64_t amount);
  // Sets the amount that this process needs, in units, or for kRate units a second: what is missing is
  // requested from other members, and only what exceeds it is lent.
  void set_demand(const BudgetId& id, std::uint64_t amount);

  // Does what is due, at or after next_deadline(). Returns the messages to send.
  std::vector<QuotaMessage> tick(Time now, const std::vector<MemberIndex>& live_members);
  // Handles the messages of one datagram. Returns the answers to send.
  std::vector<QuotaMessage> on_received(Time now, MemberIndex from, std::uint64_t incarnation,
                                        const std::vector<QuotaRequest>& requests,
                                        const std::vector<QuotaGrant>& grants,
                                        const std::vector<QuotaReturn>& returns);
  // A member is considered dead or has restarted: a request that is pending there is abandoned.
  void on_member_lost(MemberIndex member);
  // This process's own incarnation has changed.
  void set_own_incarnation(std::uint64_t incarnation);
  // When tick() is due next, such as for a request or the end of a loan; none where nothing is scheduled.
  [[nodiscard]] std::optional<Time> next_deadline() const;

  // Totals since the start of the process.
  struct Counts {
    std::uint64_t requests = 0;  // as a borrower, repetitions left out
    std::uint64_t granted = 0;   // requests of others
    std::uint64_t denied = 0;    // requests of others
    std::uint64_t borrowed = 0;  // grants received
    std::uint64_t returned = 0;  // loans to others that were returned before their lease ended
    std::uint64_t expired = 0;   // borrowed loans whose lease ended
    std::uint64_t ignored = 0;   // grants that answer no pending request
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::size_t size() const { return allocations_.size(); }
  [[nodiscard]] const std::map<BudgetId, QuotaAllocation>& allocations() const { return allocations_; }

  // A hash of all state that decides future behaviour, but the randomness; times are relative to `now`. For
  // tests that explore all states.
  [[nodiscard]] std::uint64_t state_hash(Time now) const;

 private:
  [[nodiscard]] std::optional<QuotaGrant> answer_request(Time now, const Borrower& borrower,
                                                         const QuotaRequest& request);
  void accept_grant(Time now, MemberIndex from, const QuotaGrant& grant);
  void accept_return(Time now, const Borrower& borrower, const QuotaReturn& returned);
  void accrue(Time now, QuotaAllocation& allocation) { counts_.expired += allocation.accrue(now); }
  [[nodiscard]] std::optional<Time> next_deadline(const QuotaAllocation& allocation) const;
  [[nodiscard]] const QuotaAllocation* find(const BudgetId& id) const;
  [[nodiscard]] QuotaAllocation* find(const BudgetId& id);

  LendingPolicy policy_;
  MemberIndex self_;
  MemberIndex count_;
  std::uint64_t incarnation_;
  Time lending_starts_at_;  // from here on all loans of earlier processes of this member have ended
  QuotaBorrower borrower_;
  std::map<BudgetId, QuotaAllocation> allocations_;
  Counts counts_;
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_BOUNDED_COUNTER_HPP_
