// One member's quota of one budget: its own part, its loans to and from other members, and the accrued amount
// of a rate.
#ifndef DISPATCHER_REPLICATED_STATE_QUOTA_ALLOCATION_HPP_
#define DISPATCHER_REPLICATED_STATE_QUOTA_ALLOCATION_HPP_

#include <cstdint>
#include <map>
#include <optional>

#include "replicated_state/quota.hpp"

namespace dispatcher::replicated_state {

// The latest loan to one borrower, or the latest grant for a consumable budget.
struct LentQuota {
  std::uint64_t incarnation = 0;  // the borrower's
  std::uint32_t sequence = 0;     // the sequence number of its request
  std::uint64_t amount = 0;
  std::optional<Time> until;  // kRate: when the lender may use it again; nullopt if it was denied or returned
  [[nodiscard]] bool is_running(Time at) const { return until && *until > at; }
};

// A loan of a rate from one lender.
struct BorrowedQuota {
  std::uint32_t sequence = 0;  // the sequence number of the granted request
  std::uint64_t amount = 0;
  Time until{};
};

// A request that has not been answered yet.
struct PendingRequest {
  MemberIndex lender = 0;
  QuotaRequest request;
  Time first_sent_at{};
  Time retry_at{};
  Duration backoff{};  // delay before the next repetition; doubled by each one
};

// The quota of one budget. Owned by a BoundedCounter and changed by it alone; not thread-safe.
struct QuotaAllocation {
  Budget budget;
  std::uint64_t units = 0;           // kConsumable: unused units; kRate: the own quota, including lent parts
  std::uint64_t reserved_units = 0;  // kRate: the part of `units` that is never lent
  bool lending_enabled = true;
  Time lending_starts_at{};   // before it, an earlier process of this member may have lent quota
  std::uint64_t demand = 0;   // see BoundedCounter::set_demand()
  std::uint64_t accrued = 0;  // kRate: unused quota, in millionths of a unit
  Time accrued_at{};
  bool is_closed = false;
  Time forget_at{};                               // the earliest time at which a closed budget is removed
  std::map<MemberIndex, LentQuota> lent;          // by borrower
  std::map<MemberIndex, BorrowedQuota> borrowed;  // kRate, by lender
  std::optional<PendingRequest> pending;
  Time next_request_at{};

  [[nodiscard]] bool is_consumable() const { return budget.type == BudgetType::kConsumable; }
  // Returns the sum of the loans to others that are running at `at`. kRate only.
  [[nodiscard]] std::uint64_t lent_total(Time at) const;
  // Returns the part of the own quota that is not lent at `at`, or before lending_starts_at the reserved
  // part. kRate only.
  [[nodiscard]] std::uint64_t own_rate(Time at) const;
  // Returns the quota: the unused units, or for kRate the rate including borrowed quota.
  [[nodiscard]] std::uint64_t total(Time now) const;
  // Returns the amount that may be lent now, in units, or for kRate in units per second.
  [[nodiscard]] std::uint64_t lendable(Time now) const;
  // Returns the amount that may be used now, in units.
  [[nodiscard]] std::uint64_t available(Time now) const;
  // Updates `accrued`, removes borrowed loans that have ended, and returns how many ended. Has no effect for
  // kConsumable.
  std::uint64_t accrue(Time now);
  // Uses `amount` units. The caller has called accrue() and checked available().
  void consume(std::uint64_t amount);

 private:
  [[nodiscard]] std::uint64_t accrued_until(Time now) const;
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_QUOTA_ALLOCATION_HPP_
