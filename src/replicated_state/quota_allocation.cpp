#include "replicated_state/quota_allocation.hpp"

#include <algorithm>

namespace dispatcher::replicated_state {

namespace {

constexpr std::uint64_t kMicrosPerUnit = 1'000'000;  // one unit per second accrues 1 per microsecond
// Limits the time for which the own rate accrues at once to the maximum burst. Keeps the products within 64
// bits.
constexpr Duration kMaxAccrual = std::chrono::minutes(10);

std::uint64_t saturating_subtract(std::uint64_t minuend, std::uint64_t subtrahend) {
  return minuend > subtrahend ? minuend - subtrahend : 0;
}

std::uint64_t non_negative_micros(Duration time) {
  return time.count() > 0 ? static_cast<std::uint64_t>(time.count()) : 0;
}

}  // namespace

std::uint64_t QuotaAllocation::lent_total(Time at) const {
  std::uint64_t sum = 0;
  for (const auto& [borrower, loan] : lent) {
    if (loan.is_running(at)) sum += loan.amount;
  }
  return sum;
}

std::uint64_t QuotaAllocation::own_rate(Time at) const {
  return at < lending_starts_at ? reserved_units : units - lent_total(at);
}

std::uint64_t QuotaAllocation::total(Time now) const {
  if (is_consumable()) return units;
  std::uint64_t sum = own_rate(now);
  for (const auto& [lender, loan] : borrowed) {
    if (loan.until > now) sum += loan.amount;
  }
  return sum;
}

std::uint64_t QuotaAllocation::lendable(Time now) const {
  if (is_closed || !lending_enabled) return 0;
  if (is_consumable()) return saturating_subtract(units, demand);
  if (now < lending_starts_at) return 0;
  return saturating_subtract(units - lent_total(now), std::max(reserved_units, demand));
}

// Since the last accrual the own rate can only have grown (when loans to others ended), and borrowed rates
// can only have ended. So the own rate at the last accrual, plus each borrowed rate until its end, gives a
// lower bound of the accrued amount.
std::uint64_t QuotaAllocation::accrued_until(Time now) const {
  const std::uint64_t own = own_rate(accrued_at);
  const std::uint64_t elapsed = non_negative_micros(now - accrued_at);
  std::uint64_t total = accrued + own * std::min(elapsed, non_negative_micros(kMaxAccrual));
  std::uint64_t rate = own;
  for (const auto& [lender, loan] : borrowed) {
    total += loan.amount * non_negative_micros(std::min(now, loan.until) - accrued_at);
    if (loan.until > now) rate += loan.amount;
  }
  return std::min(total, rate * non_negative_micros(budget.max_burst));
}

std::uint64_t QuotaAllocation::accrue(Time now) {
  if (is_consumable()) return 0;
  accrued = accrued_until(now);
  accrued_at = std::max(accrued_at, now);
  return std::erase_if(borrowed, [&](const auto& loan) { return loan.second.until <= now; });
}

std::uint64_t QuotaAllocation::available(Time now) const {
  if (is_closed) return 0;
  return is_consumable() ? units : accrued_until(now) / kMicrosPerUnit;
}

void QuotaAllocation::consume(std::uint64_t amount) {
  if (is_consumable()) {
    units -= amount;
  } else {
    accrued -= amount * kMicrosPerUnit;
  }
}

}  // namespace dispatcher::replicated_state
