// One member's quota of one budget: its own part, its loans to and from others, and what has accrued of a
// rate.
#ifndef DISPATCHER_REPLICATED_STATE_QUOTA_ALLOCATION_HPP_
#define DISPATCHER_REPLICATED_STATE_QUOTA_ALLOCATION_HPP_

#include <cstdint>
#include <map>
#include <optional>

#include "replicated_state/quota.hpp"

namespace dispatcher::replicated_state {

// The latest loan to one borrower, or for a consumable budget the latest grant.
struct LentQuota {
  std::uint64_t incarnation = 0;  // the borrower's
  std::uint32_t sequence = 0;     // of its request
  std::uint64_t amount = 0;
  std::optional<Time> until;  // kRate: when the lender may use it again; none where the loan has ended
  [[nodiscard]] bool is_running(Time at) const { return until && *until > at; }
};

// A loan of a rate from one lender.
struct BorrowedQuota {
  std::uint32_t sequence = 0;  // of the request that brought it
  std::uint64_t amount = 0;
  Time until{};
};

// A request that is not answered yet.
struct PendingRequest {
  MemberIndex lender = 0;
  QuotaRequest request;
  Time first_sent_at{};
  Time retry_at{};
  Duration backoff{};  // before the next repetition; doubled each time
};

// The account of one budget. Owned by a BoundedCounter and changed by it alone; no thread safety of its own.
struct QuotaAllocation {
  Budget budget;
  std::uint64_t units = 0;           // kConsumable: unused units; kRate: the own quota, lent parts included
  std::uint64_t reserved_units = 0;  // kRate: the part of `units` that is never lent
  bool lending_enabled = true;
  Time lending_starts_at{};   // before it, an earlier process of this member may have lent quota
  std::uint64_t demand = 0;   // see BoundedCounter::set_demand()
  std::uint64_t accrued = 0;  // kRate: unused quota, in millionths of a unit
  Time accrued_at{};
  bool is_closed = false;
  Time forget_at{};                               // when a closed budget is removed
  std::map<MemberIndex, LentQuota> lent;          // by borrower
  std::map<MemberIndex, BorrowedQuota> borrowed;  // kRate, by lender
  std::optional<PendingRequest> pending;
  Time next_request_at{};

  [[nodiscard]] bool is_consumable() const { return budget.type == BudgetType::kConsumable; }
  // kRate: the sum of loans to others that run at that time.
  [[nodiscard]] std::uint64_t lent_total(Time at) const;
  // kRate: the own rate that isn't lent out.
  [[nodiscard]] std::uint64_t own_rate(Time at) const;
  // The quota now: units, or for kRate the rate with borrowed quota included.
  [[nodiscard]] std::uint64_t total(Time now) const;
  // What may be lent now, in units or units a second.
  [[nodiscard]] std::uint64_t lendable(Time now) const;
  // What may be used now, in units.
  [[nodiscard]] std::uint64_t available(Time now) const;
  // kRate: updates `accrued` and removes borrowed loans that have ended. Returns how many ended.
  std::uint64_t accrue(Time now);
  // Uses units, after accrue(); the caller has checked available().
  void consume(std::uint64_t amount);

 private:
  [[nodiscard]] std::uint64_t accrued_until(Time now) const;
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_QUOTA_ALLOCATION_HPP_
