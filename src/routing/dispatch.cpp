#include "routing/dispatch.hpp"

#include "routing/reader_selection.hpp"
#include "routing/retry_policy.hpp"
#include "routing/writer_selection.hpp"

namespace dispatcher::routing {
namespace {

// Returns the decision for a request that no endpoint can serve now.
DispatchDecision wait_or_give_up(bool can_wait) {
  if (can_wait) return {NextStep::kWait};
  return {NextStep::kGiveUp, nullptr, {}, GiveUpReason::kNoEndpoint};
}

DispatchDecision dispatch_to_writer(const SelectionContext& selection, const RequestState& state) {
  Endpoint* writer = choose_writer(selection, state);
  if (writer != nullptr) return {NextStep::kStartAttempt, writer, Phase::kWriting, {}};
  return wait_or_give_up(retry_policy::can_wait_for_writer(selection.context, state));
}

DispatchDecision dispatch_to_reader(const SelectionContext& selection, const RoleBalance& balance,
                                    RequestState& state) {
  Endpoint* reader = choose_reader(selection, balance, state);
  if (reader != nullptr) {
    const bool reads_only = reader->role == Role::kReader;
    return {NextStep::kStartAttempt, reader, reads_only ? Phase::kReading : Phase::kWriting, {}};
  }
  return wait_or_give_up(retry_policy::can_wait_for_reader(selection.context, selection.endpoints, state));
}

}  // namespace

DispatchDecision decide_next_step(const SelectionContext& selection, const RoleBalance& balance,
                                  RequestState& state) {
  if (const auto reason = retry_policy::exhaustion(selection.context, state))
    return {NextStep::kGiveUp, nullptr, {}, *reason};
  if (state.phase == Phase::kNeedsWriter) return dispatch_to_writer(selection, state);
  return dispatch_to_reader(selection, balance, state);
}

Action final_answer(const RequestState& state, GiveUpReason reason) {
  if (!retry_policy::is_retry_safe(state)) return Fail{state.request.id, reason};
  return Reject{state.request.id, retry_policy::retry_after(state), reason};
}

}  // namespace dispatcher::routing
