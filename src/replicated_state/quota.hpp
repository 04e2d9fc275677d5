// What members of a fleet lend one another: budgets, the policy of lending, and the messages of the lending
// protocol (see bounded_counter.hpp, which names its sources). Plain values without I/O.
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
  std::uint64_t key = 0;  // for kConsumable derived from the budget's start: a closed one is never reopened
  auto operator<=>(const BudgetId&) const = default;
};

// How a budget is used up.
enum class BudgetType : std::uint8_t {
  kConsumable,  // units that are used once
  kRate,        // units a second, refilled continuously
};

// An amount that all members of the fleet together may use.
struct Budget {
  BudgetId id;
  BudgetType type = BudgetType::kRate;
  std::uint64_t amount = 0;  // of the fleet, at most kMaxAmount; units, for kRate units a second
  Duration max_burst = std::chrono::seconds(10);  // kRate: unused quota accrues for at most this long
};
inline constexpr std::uint64_t kMaxAmount = std::uint64_t{1} << 30U;  // amount * burst in µs fits 64 bits

// A member's part of a budget before any lending: equal parts. The remainder goes to consecutive members; the
// budget's id selects the first of them, so that small budgets do not all go to member 0. `member` is below
// `count`.
[[nodiscard]] std::uint64_t initial_quota(const Budget& budget, MemberIndex member, MemberIndex count);

inline constexpr Duration kMaxLease = std::chrono::seconds(15);  // bounds the wait after a restart

// When and how a member lends and requests quota.
struct LendingPolicy {
  bool lending_enabled = true;                // false: each member has only its initial quota
  Duration lease = std::chrono::seconds(10);  // at most kMaxLease
  double max_drift = 0.001;                   // the maximum relative error of a clock's rate
  double reserved_fraction = 0.5;             // the part of a quota that is never lent, from 0 to 1
  Duration request_retry = std::chrono::milliseconds(200);  // before the first repetition; then doubled
  Duration request_pause = std::chrono::seconds(1);         // between an answer and the next request
  std::size_t max_budgets = 256;
};

// How long a lender must wait by its own clock until a lease has certainly ended by the borrower's clock,
// where both clocks are within `max_drift` of the true rate, in opposite directions in the worst case.
[[nodiscard]] Duration lease_with_drift(Duration lease, double max_drift);

// A request for quota. `sequence` counts all requests of a borrower in one incarnation, from 1.
struct QuotaRequest {
  BudgetId budget;
  std::uint32_t sequence = 0;
  std::uint32_t renews = 0;  // sequence of the loan to renew; 0: a new one
  std::uint64_t amount = 0;
};

// The answer to a request.
struct QuotaGrant {
  BudgetId budget;
  std::uint64_t incarnation = 0;  // the borrower's: a later incarnation ignores the grant
  std::uint32_t sequence = 0;     // the request's
  std::uint64_t amount = 0;       // 0: denied
  Duration lease{};               // kRate only
};

// Ends a loan early: the borrower has stopped using it, or will never use it.
struct QuotaReturn {
  BudgetId budget;
  std::uint32_t sequence = 0;  // of the request that brought the loan
};

// One message of the lending protocol and its receiver.
struct QuotaMessage {
  MemberIndex to = 0;
  std::variant<QuotaRequest, QuotaGrant, QuotaReturn> content;
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_QUOTA_HPP_
