#include "routing/eligibility.hpp"

#include <algorithm>

#include "routing/retry_policy.hpp"

namespace dispatcher::routing {
namespace {

constexpr Duration kFullPause = Milliseconds(300);      // a full endpoint gets no requests for this long
constexpr Duration kRejectPause = Milliseconds(20000);  // the same for a class and tenant that it rejected

// Returns whether the endpoint has recently rejected a request of this class and tenant.
bool rejects(const Endpoint& endpoint, const RequestState& state, Time now) {
  if (endpoint.rejects_until.empty()) return false;
  const auto found = endpoint.rejects_until.find({state.request_class->name, state.request.tenant});
  return found != endpoint.rejects_until.end() && now < found->second;
}

// Returns whether the request may be sent to an ejected endpoint as a trial. Only one request at a time tries
// the endpoint, and it must be possible to retry it elsewhere: it only reads, or it is idempotent.
bool may_try_ejected(const Endpoint& endpoint, const RequestState& state, Step step, Time now) {
  if (now < endpoint.ejected_until || endpoint.has_unanswered_attempt()) return false;
  return step == Step::kRead || state.request_class->idempotency == Idempotency::kIdempotent;
}

// Returns whether the endpoint recognizes and discards a repeat of the possibly executed request.
bool is_in_deduplication_scope(const Endpoint& endpoint, const RequestState& state) {
  const bool same_zone = endpoint.zone == state.first_run_zone;
  switch (state.request_class->deduplication_scope) {
    case DeduplicationScope::kAll:
      return true;
    case DeduplicationScope::kZone:
      return same_zone;
    case DeduplicationScope::kCell:
      return same_zone && endpoint.cell == state.first_run_cell;
  }
  return true;
}

}  // namespace

bool is_eligible(const SelectionContext& selection, const Endpoint& endpoint, const RequestState& state,
                 Step step) {
  const Time now = selection.context.now;
  if (endpoint.state != EndpointState::kReady || now < endpoint.full_until) return false;
  if (!selection.slow_start.admits(selection.context, selection.endpoints, endpoint, state)) return false;
  if (rejects(endpoint, state, now)) return false;
  const auto& failed = state.failed_endpoints;
  if (std::find(failed.begin(), failed.end(), endpoint.endpoint) != failed.end()) return false;
  if (endpoint.is_ejected && !may_try_ejected(endpoint, state, step, now)) return false;
  return !retry_policy::needs_deduplication(state) || is_in_deduplication_scope(endpoint, state);
}

// The endpoint is marked as full for all requests only when it has rejected several classes or tenants,
// because a single rejection may concern that class or tenant alone.
void record_rejection(Time now, Endpoint& endpoint, const RequestState& state) {
  std::erase_if(endpoint.rejects_until, [&](const auto& entry) { return entry.second <= now; });
  endpoint.rejects_until[{state.request_class->name, state.request.tenant}] = now + kRejectPause;
  if (endpoint.rejects_until.size() < 2) return;
  endpoint.full_until = now + kFullPause;
  endpoint.rejects_until.clear();
}

}  // namespace dispatcher::routing
