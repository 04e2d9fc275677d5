// The life of requests: takes events, keeps the state of each open request, and asks the other modules of
// this folder for every decision. Holds no threshold.
#include "routing/router.hpp"

#include <algorithm>
#include <utility>

#include "routing/hashing.hpp"
#include "routing/load_estimate.hpp"
#include "routing/load_shedding.hpp"
#include "routing/outlier_detection.hpp"
#include "routing/prefix_affinity.hpp"
#include "routing/reader_selection.hpp"
#include "routing/retry_policy.hpp"
#include "routing/role_balance.hpp"
#include "routing/slow_start.hpp"
#include "routing/tenant_quota.hpp"
#include "routing/writer_selection.hpp"
#include "settings/check.hpp"

namespace dispatcher::routing {
namespace {

constexpr std::uint64_t kTimerTag = 0;  // the router has one timer only

}  // namespace

// Handles one event at a time, on the Router's thread.
class Router::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : context_{std::make_shared<const Settings>(settings), {}}, shedding_(seed) {
    settings::require_valid(*context_.settings);
  }

  std::vector<Action> handle(Time now, const Event& event) {
    context_.now = std::max(context_.now, now);
    if (!is_started_) start(now);
    std::visit([this](const auto& typed_event) { handle(typed_event); }, event);
    if (!is_timer_set_ && (!requests_.empty() || needs_subscription_)) {
      is_timer_set_ = true;
      emit(SetTimer{retry_policy::timer_interval(*context_.settings), kTimerTag});
    }
    return std::exchange(actions_, {});
  }

  [[nodiscard]] TableSizes table_sizes() const {
    TableSizes sizes{requests_.size(), endpoints_.entries().size(), 0};
    for (const auto& [name, endpoint] : endpoints_.entries())
      sizes.index_keys += endpoint.prefix_index.size();
    return sizes;
  }

  [[nodiscard]] LearnedState learned_state() const {
    LearnedState learned_state;
    outliers_.save(learned_state);
    slow_start_.save(learned_state);
    for (const auto& [name, endpoint] : endpoints_.entries()) {
      if (!is_warming_up(context_, endpoint)) continue;
      const auto& sends = endpoint.sends_while_warming_up;
      learned_state.endpoints.push_back({name, {sends.begin(), sends.end()}, endpoint.reinstated_at});
    }
    return learned_state;
  }

 private:
  // ---- events ----

  void start(Time now) {
    is_started_ = true;
    slow_start_.start(now);
    apply_settings();
    if (context_.settings->polls_endpoint_list) emit(Subscribe{});
  }

  void apply_settings() {
    shedding_.apply_settings(*context_.settings);
    quota_.apply_settings(*context_.settings, context_.now);
  }

  void handle(const SettingsChanged& changed) {
    context_.settings = changed.settings;
    apply_settings();
  }

  void handle(const EndpointList& list) {
    needs_subscription_ = list.kind == ListKind::kFailed;
    if (needs_subscription_) return;
    for (const EndpointId& name : endpoints_.apply(list, *context_.settings, context_.now))
      emit(LogMessage{"endpoint " + name.value() + " restarted"});
    slow_start_.update(context_, endpoints_);
  }

  void handle(const AdministrativeDrain& drain) {
    if (endpoints_.apply(drain, context_.now)) slow_start_.update(context_, endpoints_);
  }

  void handle(const LearnedState& learned_state) {
    outliers_.restore(learned_state);
    slow_start_.restore(context_, learned_state);
    for (const LearnedState::EndpointHistory& history : learned_state.endpoints) {
      Endpoint* endpoint = endpoints_.find(history.endpoint);
      if (endpoint == nullptr) continue;
      endpoint->sends_while_warming_up.assign(history.sends.begin(), history.sends.end());
      endpoint->reinstated_at = history.back;
    }
    slow_start_.update(context_, endpoints_);
  }

  void handle(const PeerForwarded& forwarded) {
    Endpoint* endpoint = endpoints_.find(forwarded.endpoint);
    if (endpoint != nullptr && is_warming_up(context_, *endpoint))
      endpoint->sends_while_warming_up.push_back(context_.now);
  }

  void handle(const Request& request) {
    if (requests_.contains(request.id)) return;
    const Settings& settings = *context_.settings;
    const auto request_class =
        std::find_if(settings.classes.begin(), settings.classes.end(),
                     [&](const RequestClass& known) { return known.name == request.request_class; });
    if (request_class == settings.classes.end()) return emit(Fail{request.id});
    RequestState& state = requests_[request.id];
    state.request = request;
    state.settings = context_.settings;
    state.request_class = &*request_class;
    state.idle_since = context_.now;
    state.is_over_quota = quota_.is_over_quota(request.tenant, context_.now);
    affinity_.record(request.shared_prefix);
    state.affinity_key = affinity_.affinity_key(request, settings.router_number, endpoints_.reader_count());
    state.session_key = session_key(request);
    if (shedding_.should_shed(context_.now, state, requests_)) {
      give_up(state);
    } else {
      dispatch(state);
    }
    erase_if_settled(state);
  }

  void handle(const FirstToken& first_token) {
    RequestState* state = find_in_flight(first_token.request, first_token.attempt);
    if (state == nullptr) return;
    forget_waiting_state(*state);
    state->phase = Phase::kStreaming;
    state->stream_started_at = context_.now;
    const double took = to_seconds(state->read_time + first_token.elapsed);  // lost attempts are no queue
    const double objective_ratio = took / to_seconds(state->latency_objective());
    shedding_.record_start(context_.now, objective_ratio);
    balance_.record_start(*state, objective_ratio);
    Endpoint* endpoint = endpoints_.find(state->endpoint);
    if (endpoint == nullptr) return;
    endpoint->pending_prompt_tokens = std::max(0.0, endpoint->pending_prompt_tokens - state->tokens_to_read);
    state->tokens_to_read = 0;
    ++endpoint->started_streams;
    record_start(*endpoint, *state, first_token.elapsed);
  }

  void handle(const AttemptCompleted& completed) {
    Endpoint* endpoint = endpoints_.find(completed.endpoint);
    if (endpoint != nullptr) endpoint->record_report(completed.report, context_.now);
    RequestState* state = find_in_flight(completed.request, completed.attempt);
    if (state == nullptr) return;
    const Phase phase = state->phase;
    detach(*state, completed.status);
    if (endpoint != nullptr) observe_completion(*endpoint, *state, completed, phase);
    if (completed.status == AttemptStatus::kRead) keep_read_state(*state, endpoint, completed);
    if (completed.finished || state->is_ended) {  // no answer is owed any more
      state->is_ended = true;
      release(*state);
    } else {
      continue_after(*state, endpoint, completed, phase);
    }
    erase_if_settled(*state);
  }

  void handle(const ReservationResult& /*result*/) {}  // the router makes no reservations at writers yet

  void handle(const ClientGone& gone) {
    const auto it = requests_.find(gone.request);
    if (it == requests_.end()) return;
    RequestState& state = it->second;
    state.is_ended = true;
    if (!state.is_in_flight) {
      release(state);
    } else if (state.phase != Phase::kStreaming && context_.settings->may_cancel && !state.is_cancelled) {
      cancel(state);
    }
    erase_if_settled(state);
  }

  void handle(const TimerExpired& timer) {
    if (timer.tag != kTimerTag || !is_timer_set_) return;
    is_timer_set_ = false;
    if (needs_subscription_ && context_.settings->polls_endpoint_list) emit(Subscribe{});
    needs_subscription_ = false;
    slow_start_.update(context_, endpoints_);
    for (auto it = requests_.begin(); it != requests_.end();) {
      RequestState& state = it->second;
      ++it;  // the request may be erased
      if (!state.is_ended) revisit(state);
    }
  }

  // ---- one request ----

  [[nodiscard]] RequestState* find_in_flight(const RequestId& id, int attempt) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return nullptr;
    RequestState& state = it->second;
    return state.is_in_flight && state.attempt_count - 1 == attempt ? &state : nullptr;
  }

  void erase_if_settled(const RequestState& state) {
    if (state.is_ended && !state.is_in_flight) requests_.erase(state.request.id);
  }

  // Looks at an open request when the timer has expired.
  void revisit(RequestState& state) {
    if (retry_policy::has_become_late(context_.now, state)) {
      state.is_counted_late = true;
      shedding_.record_late(context_.now);
    }
    if (state.is_in_flight) {
      watch_attempt(state);
    } else if (retry_policy::is_reservation_expired(context_, state)) {
      give_up(state);
    } else {
      dispatch(state);
    }
    erase_if_settled(state);
  }

  void watch_attempt(RequestState& state) {
    Endpoint* endpoint = endpoints_.find(state.endpoint);
    if (endpoint == nullptr) return;
    if (state.phase == Phase::kStreaming) {
      if (!retry_policy::should_migrate(context_, *endpoint, state)) return;
      state.is_ended = true;
      emit(MigrateStream{state.request.id});
      return;
    }
    outliers_.record_wait(*endpoint, state, context_.now - state.sent_at);
    if (retry_policy::should_cancel(context_, outliers_, shedding_, endpoints_, *endpoint, state))
      cancel(state);
  }

  // Starts the request's next attempt, if there can be one now; gives up if there never can be.
  void dispatch(RequestState& state) {
    if (retry_policy::is_exhausted(context_, state)) return give_up(state);
    if (state.phase == Phase::kNeedsWriter) return dispatch_to_writer(state);
    const SelectionContext selection{context_, endpoints_, slow_start_};
    Endpoint* reader = choose_reader(selection, balance_, state);
    if (reader == nullptr && !state.failed_endpoints.empty()) {  // a second attempt is better than none
      state.failed_endpoints.clear();
      reader = choose_reader(selection, balance_, state);
    }
    if (reader != nullptr) {
      start_attempt(state, *reader, reader->role == Role::kReader ? Phase::kReading : Phase::kWriting);
    } else if (!retry_policy::has_attempts_for_both_stages(state) && !has_single_stage_endpoint()) {
      give_up(state);
    }
  }

  void dispatch_to_writer(RequestState& state) {
    const SelectionContext selection{context_, endpoints_, slow_start_};
    Endpoint* writer = choose_writer(selection, state, Role::kWriter);
    if (writer == nullptr) writer = choose_writer(selection, state, Role::kMixed);
    if (writer != nullptr) {
      start_attempt(state, *writer, Phase::kWriting);
    } else if (!retry_policy::can_wait_for_writer(context_, state)) {
      give_up(state);
    }
  }

  // Whether there are endpoints that both read and write a request in one attempt.
  [[nodiscard]] bool has_single_stage_endpoint() const {
    return context_.settings->writers_read || endpoints_.has_mixed_endpoint();
  }

  void start_attempt(RequestState& state, Endpoint& endpoint, Phase phase) {
    const bool reads = phase == Phase::kReading || !state.holds_state;
    const bool fills_cache = reads && endpoint.role != Role::kWriter;
    const Endpoint* source = state.holds_state ? endpoints_.find(state.reader) : nullptr;
    state.phase = phase;
    state.is_in_flight = true;
    state.is_cancelled = false;
    state.later_sends_answered = 0;
    state.endpoint = endpoint.endpoint;
    state.sent_at = context_.now;
    state.predicted_cached_tokens = fills_cache ? cached_tokens(endpoint, state) : 0;
    state.tokens_to_read =
        reads ? std::max(0, state.request.prompt_tokens - state.predicted_cached_tokens) : 0;
    state.fetches_from_other_cell = source != nullptr && !in_same_cell(*source, endpoint);
    state.start_work_tokens = start_work(endpoint, state.tokens_to_read);
    ++state.attempt_count;
    ++state.charged_attempts;
    const retry_policy::AttemptLimits limits =
        retry_policy::attempt_limits(context_, outliers_, endpoint, state);
    emit(StartAttempt{state.request.id, endpoint.endpoint, limits.deadline, limits.connect_by});
    endpoint.pending_prompt_tokens += state.tokens_to_read;
    endpoint.tokens_since_report += state.tokens_to_read;
    ++active_attempts(endpoint, phase);
    if (is_warming_up(context_, endpoint)) endpoint.sends_while_warming_up.push_back(context_.now);
    endpoint.awaits_first_send = false;
    if (fills_cache) record_cached_prompt(endpoint, state);
  }

  void cancel(RequestState& state) {
    state.is_cancelled = true;
    emit(CancelAttempt{state.request.id, state.attempt_count - 1});
  }

  // The attempt in flight is over: its endpoint's counters no longer include it.
  void detach(RequestState& state, AttemptStatus status) {
    if (Endpoint* endpoint = endpoints_.find(state.endpoint); endpoint != nullptr) {
      int& active = active_attempts(*endpoint, state.phase);
      active = std::max(0, active - 1);
      if (state.phase == Phase::kStreaming)
        endpoint->started_streams = std::max(0, endpoint->started_streams - 1);
      endpoint->pending_prompt_tokens = std::max(0.0, endpoint->pending_prompt_tokens - state.tokens_to_read);
      endpoint->queue_delay_ratio = 0;  // the timer finds the next oldest attempt
    }
    state.tokens_to_read = 0;
    state.is_in_flight = false;
    if (retry_policy::renews_reservation(state, status)) state.idle_since = context_.now;
  }

  static int& active_attempts(Endpoint& endpoint, Phase phase) {
    return phase == Phase::kReading ? endpoint.active_reads : endpoint.active_streams;
  }

  static void keep_read_state(RequestState& state, Endpoint* reader, const AttemptCompleted& completed) {
    state.holds_state = true;
    state.reader = completed.endpoint;
    state.read_time = completed.elapsed;
    if (reader != nullptr) ++reader->waiting_states;
  }

  // An attempt ended without a final answer: retries or gives up.
  void continue_after(RequestState& state, const Endpoint* endpoint, const AttemptCompleted& completed,
                      Phase phase) {
    const AttemptStatus status = completed.status;
    if (!retry_policy::is_charged(state, status)) --state.charged_attempts;
    if (!retry_policy::has_no_effect(status, phase) && !state.may_have_run) {
      state.may_have_run = true;
      state.first_run_sent_at = state.sent_at;
      state.first_run_zone = endpoint != nullptr ? endpoint->zone : "";
      state.first_run_cell = endpoint != nullptr ? endpoint->cell : -1;
    }
    if (retry_policy::excludes_endpoint(status)) state.failed_endpoints.push_back(completed.endpoint);
    if (retry_policy::loses_state(completed)) forget_waiting_state(state);
    state.phase = state.holds_state ? Phase::kNeedsWriter : Phase::kNeedsRead;
    if (retry_policy::may_retry(context_, state, status)) {
      dispatch(state);
    } else {
      give_up(state);
    }
  }

  void forget_waiting_state(RequestState& state) {
    if (!state.holds_state) return;
    state.holds_state = false;
    if (Endpoint* reader = endpoints_.find(state.reader); reader != nullptr)
      reader->waiting_states = std::max(0, reader->waiting_states - 1);
  }

  void release(RequestState& state) {
    if (state.holds_state) emit(ReleaseReservation{state.request.id});
    forget_waiting_state(state);
  }

  void give_up(RequestState& state) {
    release(state);
    state.is_ended = true;
    if (retry_policy::is_retry_safe(state)) {
      emit(Reject{state.request.id, retry_policy::retry_after(state)});
    } else {
      emit(Fail{state.request.id});
    }
  }

  // ---- what endpoints show ----

  void record_start(Endpoint& endpoint, const RequestState& state, Duration elapsed) {
    count_later_send_answered(endpoint, state);
    const double latency_ratio = outliers_.record_start(context_, endpoint, state, elapsed);
    slow_start_.record_result(context_, endpoint);
    emit_if_present(outliers_.record_success(context_, endpoint, latency_ratio));
  }

  // Endpoints answer in order: attempts that were sent earlier and are still waiting may be lost.
  void count_later_send_answered(const Endpoint& endpoint, const RequestState& answered) {
    for (auto& [id, other] : requests_) {
      const bool is_waiting = other.is_in_flight && other.phase != Phase::kStreaming &&
                              other.endpoint == endpoint.endpoint &&
                              (answered.fetches_from_other_cell || !other.fetches_from_other_cell);
      if (is_waiting && other.sent_at < answered.sent_at) ++other.later_sends_answered;
    }
  }

  void observe_completion(Endpoint& endpoint, const RequestState& state, const AttemptCompleted& completed,
                          Phase phase) {
    if (completed.status == AttemptStatus::kRead) {
      record_start(endpoint, state, completed.elapsed);
      // Logged only: the index is not cleared, as the reader caches the prompt again from now on.
      if (completed.cached_prompt_tokens + kBlockTokens < state.predicted_cached_tokens)
        emit(LogMessage{"endpoint " + endpoint.endpoint.value() + " lost cached prompts"});
    } else if (completed.status == AttemptStatus::kServed) {
      endpoint.last_response_at = context_.now;
      if (phase == Phase::kStreaming) outliers_.record_stream(context_, endpoint, state);
    } else if (completed.status == AttemptStatus::kFull &&
               completed.evidence != AttemptEvidence::kStateNotFound) {
      record_rejection(context_.now, endpoint, state);
    } else if (const auto failure = retry_policy::failure_of(completed, phase, shedding_, endpoint, state)) {
      emit_if_present(outliers_.record_failure(context_, endpoints_, endpoint, *failure));
    }
  }

  void emit(Action action) { actions_.push_back(std::move(action)); }
  void emit_if_present(std::optional<LogMessage> log) {
    if (log) actions_.emplace_back(*std::move(log));
  }

  Context context_;
  bool is_started_ = false;
  bool is_timer_set_ = false;
  bool needs_subscription_ = false;  // the endpoint list could not be had
  EndpointTable endpoints_;
  RequestTable requests_;
  OutlierDetection outliers_;
  SlowStart slow_start_;
  PrefixAffinity affinity_;
  TenantQuota quota_;
  LoadShedding shedding_;
  RoleBalance balance_;
  std::vector<Action> actions_;  // of the event that is being handled
};

Router::Router(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
std::vector<Action> Router::handle(Time now, const Event& event) { return impl_->handle(now, event); }
TableSizes Router::table_sizes() const { return impl_->table_sizes(); }
LearnedState Router::learned_state() const { return impl_->learned_state(); }

}  // namespace dispatcher::routing
