// Dispatch: which stage an open request enters next, or with which answer the router ends it. Has no
// threshold: the selection modules and the retry policy choose.
#ifndef DISPATCHER_ROUTING_DISPATCH_HPP_
#define DISPATCHER_ROUTING_DISPATCH_HPP_

#include "routing/actions.hpp"
#include "routing/eligibility.hpp"
#include "routing/role_balance.hpp"

namespace dispatcher::routing {

// What a request without an attempt in flight does next. kWait: it is dispatched again at the next timer.
enum class NextStep { kStartAttempt, kWait, kGiveUp };

// The next step of a request.
struct DispatchDecision {
  NextStep step = NextStep::kWait;
  Endpoint* endpoint = nullptr;  // kStartAttempt: where to, never null
  Phase phase{};                 // kStartAttempt: kReading or kWriting
  GiveUpReason reason{};         // kGiveUp
};

// The next attempt, if an endpoint can take it now; giving up, if no later one can succeed; else waiting. May
// clear RequestState::failed_endpoints: see choose_reader().
[[nodiscard]] DispatchDecision decide_next_step(const SelectionContext& selection, const RoleBalance& balance,
                                                RequestState& state);

// The answer to a request that is given up: Reject if the client may send it again, else Fail.
[[nodiscard]] Action final_answer(const RequestState& state, GiveUpReason reason);

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_DISPATCH_HPP_
