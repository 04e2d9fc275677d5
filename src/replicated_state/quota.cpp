#include "replicated_state/quota.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>

namespace dispatcher::replicated_state {

std::uint64_t initial_quota(const Budget& budget, MemberIndex member, MemberIndex count) {
  const std::uint64_t fields[] = {budget.id.kind, budget.id.key};
  const std::uint64_t first = XXH3_64bits(fields, sizeof fields) % count;
  const std::uint64_t position = (member + count - first) % count;
  const bool has_remainder_unit = position < budget.amount % count;
  return budget.amount / count + (has_remainder_unit ? 1 : 0);
}

Duration lease_with_drift(Duration lease, double max_drift) {
  const double longest = static_cast<double>(lease.count()) * (1 + max_drift) / (1 - max_drift);
  return Duration(static_cast<Duration::rep>(std::ceil(longest)) + 1);
}

}  // namespace dispatcher::replicated_state
