// Dispatch: determines which stage an open request enters next, or with which answer the router ends it. Has
// no thresholds of its own: the selection modules and the retry policy make the choices.
#ifndef DISPATCHER_ROUTING_DISPATCH_HPP_
#define DISPATCHER_ROUTING_DISPATCH_HPP_

#include "routing/actions.hpp"
#include "routing/eligibility.hpp"
#include "routing/role_balance.hpp"

namespace dispatcher::routing {

// What a request without an attempt in flight does next. A request that waits (kWait) is dispatched again at
// the next timer.
enum class NextStep { kStartAttempt, kWait, kGiveUp };

// The next step of a request and its parameters.
struct DispatchDecision {
  NextStep step = NextStep::kWait;
  Endpoint* endpoint = nullptr;  // with kStartAttempt: where to send the attempt, never null
  Phase phase{};                 // with kStartAttempt: kReading or kWriting
  GiveUpReason reason{};         // with kGiveUp: why
};

// Gives up if the retry policy permits no further attempt. Otherwise returns the next attempt if an endpoint
// can take it now, gives up if no later attempt can succeed, or else waits. May clear
// RequestState::failed_endpoints; see choose_reader().
[[nodiscard]] DispatchDecision decide_next_step(const SelectionContext& selection, const RoleBalance& balance,
                                                RequestState& state);

// Returns the answer to a request that is given up: Reject if the client may safely send it again, or else
// Fail.
[[nodiscard]] Action final_answer(const RequestState& state, GiveUpReason reason);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_DISPATCH_HPP_
