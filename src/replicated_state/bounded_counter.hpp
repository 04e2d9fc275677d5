// A bounded counter, also known as an escrow counter: the members of a fleet hold parts (quotas) of a budget,
// and the sum of these parts never exceeds the budget, even if messages are lost, late or repeated and
// processes are partitioned, stopped or restarted. Based on O'Neil, "The escrow transactional method" (1986),
// and Balegas et al., "Extending eventually consistent cloud databases for enforcing numeric invariants"
// (2015). Does no I/O: the time, the randomness and the messages are passed in.
//
// Each member has an initial quota of each budget, which depends on the configured number of members. It may
// use this amount without any communication. There are two types of budget:
//
// kConsumable: units that are used once. A unit is transferred by a grant: the lender subtracts it before it
// sends the grant, and the borrower adds it once. If the grant is lost, the unit is lost. A process has an
// initial quota only of a budget whose start it observed. An earlier process of the member may have spent the
// initial quota of any other budget, so the process has no units of it until it is granted some.
//
// kRate: units per second, refilled continuously, which accrue for `max_burst` at most. A fraction of the
// quota is reserved and never lent; the remainder can be lent for a lease. The borrower counts the lease by
// its own clock, from a time before it sent the request, and checks the clock at each use, so a process that
// was stopped has lost the loan when it resumes. The lender reclaims the loan lease_with_drift(lease) after
// it granted it. The lender's clock is at most `max_drift` fast, the borrower's at most `max_drift` slow, and
// the borrower's lease began no later, so the lease has ended by then, whatever the network latency. A
// process that starts may follow one that had lent quota, so it uses only the reserved part until
// lease_with_drift(kMaxLease) after its start. Accrual starts at zero.
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

// Whether a process knows that no earlier process of its member can have used a budget (see kConsumable
// above).
enum class BudgetStart : std::uint8_t {
  kObserved,  // the process was running before the budget existed
  kUnknown,   // an earlier process of this member may have used it
};

// One member's quotas of all budgets, and its part of the lending protocol. Owned by a GossipNode; used on
// one thread, with no callbacks.
class BoundedCounter {
 public:
  // `self` must be below `count`. `incarnation` is this process's incarnation.
  BoundedCounter(const LendingPolicy& policy, MemberIndex self, MemberIndex count, std::uint64_t incarnation,
                 Time now, Random random);

  // Opens a budget, so that this process has a quota of it from now on. Returns false if there are too many
  // budgets, if the budget exceeds its bounds, or if it is kConsumable and has been closed. Has no effect on
  // an open budget.
  bool open(Time now, const Budget& budget, BudgetStart start);
  // Ends the use of a budget if it is open. Its borrowed loans are returned by the next tick().
  void close(Time now, const BudgetId& id);

  // Returns the amount that may be used now, in units. For kRate this is the accrued amount.
  [[nodiscard]] std::uint64_t available(Time now, const BudgetId& id) const;
  // Returns the rate of a kRate budget in units per second, including borrowed loans.
  [[nodiscard]] std::uint64_t rate(Time now, const BudgetId& id) const;
  // Uses `amount` units. Returns false and uses none if fewer are available.
  bool consume(Time now, const BudgetId& id, std::uint64_t amount);
  // Sets the amount that this process needs, in units, or for kRate in units per second. An amount that is
  // missing is requested from other members, and only an amount beyond the demand is lent.
  void set_demand(const BudgetId& id, std::uint64_t amount);

  // Expires and returns loans, sends and repeats requests, and forgets closed budgets, as far as this is due.
  // Called at or after next_deadline(). Returns the messages to send.
  std::vector<QuotaMessage> tick(Time now, const std::vector<MemberIndex>& live_members);
  // Handles the messages of one datagram. Returns the answers to send.
  std::vector<QuotaMessage> on_received(Time now, MemberIndex from, std::uint64_t incarnation,
                                        const std::vector<QuotaRequest>& requests,
                                        const std::vector<QuotaGrant>& grants,
                                        const std::vector<QuotaReturn>& returns);
  // Called when a member is considered dead or has restarted. Abandons the requests that are pending there.
  void on_member_lost(MemberIndex member);
  // Called when this process's own incarnation has changed. Abandons all pending requests.
  void set_own_incarnation(std::uint64_t incarnation);
  // Returns when tick() is due next, such as for a request or the end of a loan, or nullopt if nothing is
  // scheduled.
  [[nodiscard]] std::optional<Time> next_deadline() const;

  // Totals since the start of the process.
  struct Counts {
    std::uint64_t requests = 0;  // sent as a borrower, without repetitions
    std::uint64_t granted = 0;   // requests from other members
    std::uint64_t denied = 0;    // requests from other members
    std::uint64_t borrowed = 0;  // grants received
    std::uint64_t returned = 0;  // loans to other members that were returned before their lease ended
    std::uint64_t expired = 0;   // borrowed loans whose lease ended
    std::uint64_t ignored = 0;   // grants that did not answer a pending request
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::size_t size() const { return allocations_.size(); }
  [[nodiscard]] const std::map<BudgetId, QuotaAllocation>& allocations() const { return allocations_; }

  // Returns a hash of all state that determines future behaviour except the randomness, with times relative
  // to `now`. For tests that explore all states.
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
  Time lending_starts_at_;  // when all loans by earlier processes of this member have ended
  QuotaBorrower borrower_;
  std::map<BudgetId, QuotaAllocation> allocations_;
  Counts counts_;
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_BOUNDED_COUNTER_HPP_
