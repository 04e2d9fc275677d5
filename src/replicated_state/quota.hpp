// The values of quota lending between members of a fleet: budgets, the lending policy, and the messages of
// the lending protocol (see bounded_counter.hpp, which names its sources). Plain values without I/O.
#ifndef DISPATCHER_REPLICATED_STATE_QUOTA_HPP_
#define DISPATCHER_REPLICATED_STATE_QUOTA_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <variant>

#include "replicated_state/entry_kinds.hpp"

namespace dispatcher::replicated_state {

// Identifies one budget of the fleet.
struct BudgetId {
  std::uint32_t kind = 0;
  std::uint64_t key = 0;  // derived from the budget's start for kConsumable, as a closed one never reopens
  auto operator<=>(const BudgetId&) const = default;
};

// How a budget is used up.
enum class BudgetType : std::uint8_t {
  kConsumable,  // units that are used once
  kRate,        // units per second, refilled continuously
};

// An amount that all members of the fleet together may use.
struct Budget {
  BudgetId id;
  BudgetType type = BudgetType::kRate;
  std::uint64_t amount = 0;  // for the whole fleet, in units or (kRate) units per second; at most kMaxAmount
  Duration max_burst = std::chrono::seconds(10);  // unused quota accrues for at most this long; kRate only
};
// Keeps the product of a budget's amount and its max_burst in µs within 64 bits.
inline constexpr std::uint64_t kMaxAmount = std::uint64_t{1} << 30U;

// Returns a member's part of a budget before any lending. Members have equal parts, and the remainder goes to
// consecutive members. The budget's id selects the first of them, so that small budgets do not all go to
// member 0. `member` must be below `count`.
[[nodiscard]] std::uint64_t initial_quota(const Budget& budget, MemberIndex member, MemberIndex count);

inline constexpr Duration kMaxLease = std::chrono::seconds(15);  // bounds the wait after a restart

// Determines when and how a member lends and requests quota.
struct LendingPolicy {
  bool lending_enabled = true;                // if false, each member has only its initial quota
  Duration lease = std::chrono::seconds(10);  // at most kMaxLease
  double max_drift = 0.001;                   // the maximum relative error of a clock's rate
  double reserved_fraction = 0.5;             // the fraction of a quota that is never lent, from 0 to 1
  Duration request_retry = std::chrono::milliseconds(200);  // before the first repetition; doubled after each
  Duration request_pause = std::chrono::seconds(1);         // between an answer and the next request
  std::size_t max_budgets = 256;
};

// Returns how long a lender must wait by its own clock until a lease has certainly ended by the borrower's
// clock. Both clocks are within `max_drift` of the true rate, in the worst case in opposite directions.
[[nodiscard]] Duration lease_with_drift(Duration lease, double max_drift);

// A request for quota. `sequence` numbers all requests of a borrower's incarnation, from 1.
struct QuotaRequest {
  BudgetId budget;
  std::uint32_t sequence = 0;
  std::uint32_t renews = 0;  // the sequence number of the loan to renew; 0 requests a new loan
  std::uint64_t amount = 0;
};

// The answer to a request.
struct QuotaGrant {
  BudgetId budget;
  std::uint64_t incarnation = 0;  // the borrower's; a later incarnation ignores the grant
  std::uint32_t sequence = 0;     // the sequence number of the request
  std::uint64_t amount = 0;       // 0 if the request is denied
  Duration lease{};               // kRate only
};

// Ends a loan early, because the borrower has stopped using it or will never use it.
struct QuotaReturn {
  BudgetId budget;
  std::uint32_t sequence = 0;  // the sequence number of the loan's request
};

// One message of the lending protocol and its receiver.
struct QuotaMessage {
  MemberIndex to = 0;
  std::variant<QuotaRequest, QuotaGrant, QuotaReturn> content;
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_QUOTA_HPP_
