#include "routing/response_observer.hpp"

#include <utility>

#include "routing/eligibility.hpp"
#include "routing/retry_policy.hpp"

namespace dispatcher::routing {
namespace {

void append(std::vector<LogMessage>& logs, std::optional<LogMessage> log) {
  if (log) logs.push_back(*std::move(log));
}

}  // namespace

void ResponseObserver::update(const Context& context, const EndpointTable& endpoints) {
  slow_start_.update(context, endpoints);
}

// Counts only the time of the attempts that led to the token, because the time of failed attempts was not
// spent in a queue.
std::optional<LogMessage> ResponseObserver::record_first_token(const Context& context, OpenRequests& requests,
                                                               Endpoint* endpoint, const RequestState& state,
                                                               Duration elapsed) {
  const double total_time = to_seconds(state.read_time + elapsed);
  const double objective_ratio = total_time / to_seconds(state.latency_objective());
  shedding_.record_start(context.now, objective_ratio);
  balance_.record_start(state, objective_ratio);
  if (endpoint == nullptr) return std::nullopt;
  return record_start(context, requests, *endpoint, state, elapsed);
}

std::vector<LogMessage> ResponseObserver::record_completion(const Context& context,
                                                            const EndpointTable& endpoints,
                                                            OpenRequests& requests, Endpoint& endpoint,
                                                            const RequestState& state,
                                                            const AttemptCompleted& completed, Phase phase) {
  std::vector<LogMessage> logs;
  if (completed.status == AttemptStatus::kRead) {
    append(logs, record_start(context, requests, endpoint, state, completed.elapsed));
    // The prefix index is not cleared, because the reader has the prompt cached from now on.
    if (completed.cached_prompt_tokens + kBlockTokens < state.predicted_cached_tokens)
      logs.push_back({"endpoint " + endpoint.endpoint.value() + " lost cached prompts"});
  } else if (completed.status == AttemptStatus::kServed) {
    endpoint.last_response_at = context.now;
    if (phase == Phase::kStreaming) outliers_.record_stream(context, endpoint, state);
  } else if (completed.status == AttemptStatus::kFull &&
             completed.evidence != AttemptEvidence::kStateNotFound) {
    record_rejection(context.now, endpoint, state);
  } else if (const auto failure = retry_policy::failure_of(completed, phase, shedding_, endpoint, state)) {
    append(logs, outliers_.record_failure(context, endpoints, endpoint, *failure));
  }
  return logs;
}

std::optional<LogMessage> ResponseObserver::record_start(const Context& context, OpenRequests& requests,
                                                         Endpoint& endpoint, const RequestState& state,
                                                         Duration elapsed) {
  requests.count_later_send_answered(endpoint, state);
  const double latency_ratio = outliers_.record_start(context, endpoint, state, elapsed);
  slow_start_.record_result(context, endpoint);
  return outliers_.record_success(context, endpoint, latency_ratio);
}

void ResponseObserver::record_wait(const Context& context, Endpoint& endpoint,
                                   const RequestState& state) const {
  outliers_.record_wait(endpoint, state, context.now - state.sent_at);
}

void ResponseObserver::record_if_late(const Context& context, RequestState& state) {
  if (!retry_policy::has_become_late(context.now, state)) return;
  state.is_counted_late = true;
  shedding_.record_late(context.now);
}

bool ResponseObserver::should_shed(const Context& context, const RequestState& state,
                                   const OpenRequests& requests) {
  return shedding_.should_shed(context.now, state, requests.entries());
}

void ResponseObserver::save(LearnedState& learned_state) const {
  outliers_.save(learned_state);
  slow_start_.save(learned_state);
}

void ResponseObserver::restore(const Context& context, const LearnedState& learned_state) {
  outliers_.restore(learned_state);
  slow_start_.restore(context, learned_state);
}

}  // namespace dispatcher::routing
