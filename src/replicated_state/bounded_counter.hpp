// A bounded counter, also known as an escrow counter: members of a fleet hold parts (quotas) of a budget
// whose sum never exceeds it, whatever messages are lost, late or repeated, and whatever processes are cut
// off, stopped or restarted. After O'Neil, "The escrow transactional method" (1986), and Balegas et al.,
// "Extending eventually consistent cloud databases for enforcing numeric invariants" (2015). No I/O: the
// clock, the randomness and the messages are passed in.
//
// Each member has an initial quota of each budget, by the configured count of members: what it may use
// without talking to anybody. Two types of budget:
// - kConsumable: units that are used once. A unit moves by a grant that leaves the lender first and is
// counted
//   by the borrower once; one whose grant is lost is lost. A process has an initial quota only of a budget
//   whose start it observed: of any other an earlier process of this member may have spent it, so it starts
//   with nothing until granted.
// - kRate: units a second, refilled for ever, that accrue for `max_burst` at most. A part of the quota is
//   reserved and never lent; the rest is lent for a lease. The borrower counts the lease from before its
//   request, by its own clock, and looks at the clock at each use, so that a stopped process has lost the
//   loan when it resumes. The lender takes the loan back lease_with_drift(lease) after it granted it: its
//   clock, at most `max_drift` fast, has then passed the lease of a clock at most `max_drift` slow that began
//   no later. How long datagrams travel does not matter. A process that starts may follow one that had lent
//   quota: it uses the reserved part only, until lease_with_drift(kMaxLease) after its start. Accrual starts
//   at zero.
//
// Clocks: steady, running on while the process is stopped, each within `max_drift` of the true rate. They are
// compared with themselves only. docs/design/fleet-as-one.md has the proof.
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

// Whether a process knows that nobody can have used a budget before it: see kConsumable above.
enum class BudgetStart : std::uint8_t {
  kObserved,  // it was running, and knew that the budget did not exist, before it did
  kUnknown,
};

// One member's quotas of all budgets, and its part of the lending protocol. Owned by a GossipNode; used on
// one thread, with no callbacks.
class BoundedCounter {
 public:
  // `self` is below `count`; `incarnation` is this process's.
  BoundedCounter(const LendingPolicy& policy, MemberIndex self, MemberIndex count, std::uint64_t incarnation,
                 Time now, Random random);

  // Begins to hold a quota. False: too many budgets, or bounds exceeded, or one of units that has been
  // closed. A budget that is open already stays as it is.
  bool open(Time now, const Budget& budget, BudgetStart start);
  // Ends the use of a budget, if it is open. Loans of it are returned with the next tick().
  void close(Time now, const BudgetId& id);

  // What may be used now: units, or for kRate what has accrued, in units.
  [[nodiscard]] std::uint64_t available(Time now, const BudgetId& id) const;
  // kRate: units a second, loans included.
  [[nodiscard]] std::uint64_t rate(Time now, const BudgetId& id) const;
  // Uses units: all, or none and false.
  bool consume(Time now, const BudgetId& id, std::uint64_t amount);
  // How much is wanted, in units or units a second: what is missing is requested from others, and nothing
  // below it is lent.
  void set_demand(const BudgetId& id, std::uint64_t amount);

  // Does what is due, at or after next_deadline(). Returns the messages to send.
  std::vector<QuotaMessage> tick(Time now, const std::vector<MemberIndex>& live_members);
  // Handles the messages of one datagram. Returns the answers to send.
  std::vector<QuotaMessage> on_received(Time now, MemberIndex from, std::uint64_t incarnation,
                                        const std::vector<QuotaRequest>& requests,
                                        const std::vector<QuotaGrant>& grants,
                                        const std::vector<QuotaReturn>& returns);
  // A member is considered dead or has restarted: answers from it are no longer awaited.
  void on_member_lost(MemberIndex member);
  // This process's own incarnation has changed.
  void set_own_incarnation(std::uint64_t incarnation);
  // When tick() has something to do next, such as a request or the end of a loan; none: nothing.
  [[nodiscard]] std::optional<Time> next_deadline() const;

  // Totals since the start of the process.
  struct Counts {
    std::uint64_t requests = 0;  // as a borrower, repetitions left out
    std::uint64_t granted = 0;   // requests of others
    std::uint64_t denied = 0;    // requests of others
    std::uint64_t borrowed = 0;  // grants received
    std::uint64_t returned = 0;  // loans that came back before their lease ended
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
  Time lending_starts_at_;  // from here on an earlier process of this member has nothing lent
  QuotaBorrower borrower_;
  std::map<BudgetId, QuotaAllocation> allocations_;
  Counts counts_;
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_BOUNDED_COUNTER_HPP_
