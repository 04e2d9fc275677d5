#include "routing/attempt_lifecycle.hpp"

#include <algorithm>

#include "routing/cached_prompts.hpp"
#include "routing/load_estimate.hpp"
#include "routing/prefix_affinity.hpp"
#include "routing/retry_policy.hpp"
#include "routing/warmup.hpp"

namespace dispatcher::routing {
namespace {

// Returns the endpoint's counter of this router's attempts in this phase.
int& active_attempts(Endpoint& endpoint, Phase phase) {
  return phase == Phase::kReading ? endpoint.active_reads : endpoint.active_streams;
}

void subtract_pending_tokens(Endpoint& endpoint, const RequestState& state) {
  endpoint.pending_prompt_tokens = std::max(0.0, endpoint.pending_prompt_tokens - state.tokens_to_read);
}

// Returns whether the attempt processes the prompt, rather than fetching its state from the reader.
bool reads_prompt(const RequestState& state, Phase phase) {
  return phase == Phase::kReading || !state.has_prompt_state;
}

// Sets the members of the request's state that describe the starting attempt.
void describe_attempt(const EndpointTable& endpoints, RequestState& state, const Endpoint& endpoint,
                      bool fills_cache) {
  const Endpoint* source = state.has_prompt_state ? endpoints.find(state.reader) : nullptr;
  state.is_in_flight = true;
  state.is_cancelled = false;
  state.later_sends_answered = 0;
  state.endpoint = endpoint.endpoint;
  state.predicted_cached_tokens = fills_cache ? cached_tokens(endpoint, state) : 0;
  state.tokens_to_read = 0;
  if (reads_prompt(state, state.phase))
    state.tokens_to_read = std::max(0, state.request.prompt_tokens - state.predicted_cached_tokens);
  state.fetches_from_other_cell = source != nullptr && !in_same_cell(*source, endpoint);
  state.start_work_tokens = start_work(endpoint, state.tokens_to_read);
  ++state.attempt_count;
  ++state.charged_attempts;
}

}  // namespace

void record_send(const Context& context, Endpoint& endpoint) {
  if (is_warming_up(context, endpoint)) endpoint.sends_while_warming_up.push_back(context.now);
}

StartAttempt start_attempt(const Context& context, const OutlierDetection& outliers,
                           const EndpointTable& endpoints, RequestState& state, Endpoint& endpoint,
                           Phase phase) {
  const bool fills_cache = reads_prompt(state, phase) && endpoint.role != Role::kWriter;
  state.phase = phase;
  state.sent_at = context.now;
  describe_attempt(endpoints, state, endpoint, fills_cache);
  const retry_policy::AttemptLimits limits = retry_policy::attempt_limits(context, outliers, endpoint, state);
  endpoint.pending_prompt_tokens += state.tokens_to_read;
  endpoint.tokens_since_report += state.tokens_to_read;
  ++active_attempts(endpoint, phase);
  record_send(context, endpoint);
  endpoint.awaits_first_send = false;
  if (fills_cache) record_cached_prompt(endpoint, state, max_cached_blocks(endpoint));
  return {state.request.id, endpoint.endpoint, limits.deadline, limits.connect_by};
}

Endpoint* begin_stream(const Context& context, EndpointTable& endpoints, RequestState& state) {
  forget_prompt_state(endpoints, state);
  state.phase = Phase::kStreaming;
  state.stream_started_at = context.now;
  Endpoint* endpoint = endpoints.find(state.endpoint);
  if (endpoint == nullptr) return nullptr;
  subtract_pending_tokens(*endpoint, state);
  state.tokens_to_read = 0;
  ++endpoint->started_streams;
  return endpoint;
}

void end_attempt(const Context& context, EndpointTable& endpoints, RequestState& state,
                 const AttemptCompleted& completed) {
  if (Endpoint* endpoint = endpoints.find(state.endpoint); endpoint != nullptr) {
    int& active = active_attempts(*endpoint, state.phase);
    active = std::max(0, active - 1);
    if (state.phase == Phase::kStreaming)
      endpoint->started_streams = std::max(0, endpoint->started_streams - 1);
    subtract_pending_tokens(*endpoint, state);
    endpoint->queue_delay_ratio = 0;  // the next timer event measures the remaining attempts
  }
  state.tokens_to_read = 0;
  state.is_in_flight = false;
  if (retry_policy::renews_reservation(state, completed)) state.idle_since = context.now;
}

void record_prompt_state(RequestState& state, Endpoint* reader, const AttemptCompleted& completed) {
  state.has_prompt_state = true;
  state.reader = completed.endpoint;
  state.read_time = completed.elapsed;
  if (reader != nullptr) ++reader->waiting_states;
}

void forget_prompt_state(EndpointTable& endpoints, RequestState& state) {
  if (!state.has_prompt_state) return;
  state.has_prompt_state = false;
  if (Endpoint* reader = endpoints.find(state.reader); reader != nullptr)
    reader->waiting_states = std::max(0, reader->waiting_states - 1);
}

std::optional<ReleaseReservation> release_prompt_state(EndpointTable& endpoints, RequestState& state) {
  if (!state.has_prompt_state) return std::nullopt;
  forget_prompt_state(endpoints, state);
  return ReleaseReservation{state.request.id};
}

void record_unanswered(EndpointTable& endpoints, RequestState& state, const Endpoint* endpoint,
                       const AttemptCompleted& completed, Phase phase) {
  const AttemptStatus status = completed.status;
  if (!retry_policy::is_charged(state, status)) --state.charged_attempts;
  if (!retry_policy::has_no_effect(status, phase) && !state.may_have_run) {
    state.may_have_run = true;
    state.first_run_sent_at = state.sent_at;
    state.first_run_zone = endpoint != nullptr ? endpoint->zone : "";
    state.first_run_cell = endpoint != nullptr ? endpoint->cell : -1;
  }
  if (retry_policy::excludes_endpoint(status)) state.failed_endpoints.push_back(completed.endpoint);
  if (retry_policy::loses_state(completed)) forget_prompt_state(endpoints, state);
  state.phase = state.has_prompt_state ? Phase::kNeedsWriter : Phase::kNeedsRead;
}

CancelAttempt cancel_attempt(RequestState& state) {
  state.is_cancelled = true;
  return {state.request.id, state.current_attempt()};
}

}  // namespace dispatcher::routing
