// Receives events one at a time, delegates decisions to the other modules of this folder, and collects the
// resulting actions. Contains no thresholds and no decisions of its own.
#include "routing/router.hpp"

#include <algorithm>
#include <utility>

#include "routing/attempt_lifecycle.hpp"
#include "routing/dispatch.hpp"
#include "routing/learned_state.hpp"
#include "routing/open_requests.hpp"
#include "routing/request_admission.hpp"
#include "routing/request_classes.hpp"
#include "routing/response_observer.hpp"
#include "routing/retry_policy.hpp"
#include "settings/check.hpp"

namespace dispatcher::routing {
namespace {

constexpr std::uint64_t kTimerTag = 0;  // the router has a single timer

}  // namespace

// Handles one event at a time, on the Router's thread.
class Router::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : context_{std::make_shared<const Settings>(settings), {}}, observer_(seed) {
    settings::require_valid(*context_.settings);
  }

  std::vector<Action> handle(Time now, const Event& event) {
    context_.now = std::max(context_.now, now);
    if (!is_started_) start(now);
    std::visit([this](const auto& typed_event) { handle(typed_event); }, event);
    set_timer_if_needed();
    return std::exchange(actions_, {});
  }

  [[nodiscard]] TableSizes table_sizes() const {
    TableSizes sizes{requests_.size(), endpoints_.entries().size(), 0};
    for (const auto& [name, endpoint] : endpoints_.entries())
      sizes.index_keys += endpoint.prefix_index.size();
    return sizes;
  }

  [[nodiscard]] LearnedState learned_state() const {
    return save_learned_state(context_, observer_, endpoints_);
  }

 private:
  // ---- events that concern no single request ----

  // Starts all counting at the time of the first event.
  void start(Time now) {
    is_started_ = true;
    observer_.start(now);
    apply_settings();
    if (context_.settings->polls_endpoint_list) emit(Subscribe{});
  }

  void apply_settings() {
    observer_.apply_settings(*context_.settings);
    admission_.apply_settings(*context_.settings, context_.now);
  }

  // Keeps the timer running while requests are open or the endpoint list must be requested again.
  void set_timer_if_needed() {
    if (is_timer_set_ || (requests_.is_empty() && !needs_subscription_)) return;
    is_timer_set_ = true;
    emit(SetTimer{retry_policy::timer_interval(*context_.settings), kTimerTag});
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
    observer_.update(context_, endpoints_);
  }

  void handle(const AdministrativeDrain& drain) {
    if (endpoints_.apply(drain, context_.now)) observer_.update(context_, endpoints_);
  }

  void handle(const LearnedState& learned_state) {
    restore_learned_state(learned_state, context_, observer_, endpoints_);
  }

  void handle(const PeerForwarded& forwarded) {
    if (Endpoint* endpoint = endpoints_.find(forwarded.endpoint); endpoint != nullptr)
      record_send(context_, *endpoint);
  }

  void handle(const ReservationResult& /*result*/) {}  // the router does not reserve slots yet

  void handle(const TimerExpired& timer) {
    if (timer.tag != kTimerTag || !is_timer_set_) return;
    is_timer_set_ = false;
    if (needs_subscription_ && context_.settings->polls_endpoint_list) emit(Subscribe{});
    needs_subscription_ = false;
    observer_.update(context_, endpoints_);
    requests_.for_each([this](RequestState& state) { release_if_undelivered(state); });
    requests_.for_each_unanswered([this](RequestState& state) { check_request(state); });
  }

  // ---- events of one request ----

  void handle(const Request& request) {
    if (requests_.find(request.id) != nullptr) return;
    const RequestClass* request_class = find_class(*context_.settings, request.request_class);
    if (request_class == nullptr) return emit(Fail{request.id, GiveUpReason::kUnknownClass});
    RequestState& state =
        requests_.insert(admission_.admit(context_, request, *request_class, endpoints_.reader_count()));
    if (observer_.should_shed(context_, state, requests_)) {
      give_up(state, GiveUpReason::kLoadShed);
    } else {
      dispatch(state);
    }
    requests_.erase_if_settled(state);
  }

  void handle(const FirstToken& first_token) {
    RequestState* state = requests_.find_in_flight(first_token.request, first_token.attempt);
    if (state == nullptr) return;
    Endpoint* endpoint = begin_stream(context_, endpoints_, *state);
    emit_if_present(observer_.record_first_token(context_, requests_, endpoint, *state, first_token.elapsed));
  }

  void handle(const AttemptCompleted& completed) {
    Endpoint* endpoint = endpoints_.find(completed.endpoint);
    if (endpoint != nullptr) endpoint->record_report(completed.report, context_.now);
    RequestState* state = requests_.find_in_flight(completed.request, completed.attempt);
    if (state == nullptr) return;
    const Phase phase = state->phase;
    end_attempt(context_, endpoints_, *state, completed);
    if (endpoint != nullptr) observe_completion(*endpoint, *state, completed, phase);
    if (completed.status == AttemptStatus::kRead) record_prompt_state(*state, endpoint, completed);
    if (completed.finished || state->is_ended) {
      end_request(*state);
    } else {
      record_unanswered(endpoints_, *state, endpoint, completed, phase);
      if (retry_policy::must_read_again(context_, *state, completed)) release_and_read_again(*state);
      retry_or_give_up(*state, completed.status);
    }
    requests_.erase_if_settled(*state);
  }

  void handle(const ClientGone& gone) {
    RequestState* state = requests_.find(gone.request);
    if (state == nullptr) return;
    state->is_ended = true;
    if (!state->is_in_flight) {
      emit_if_present(release_prompt_state(endpoints_, *state));
    } else if (state->phase != Phase::kStreaming && context_.settings->may_cancel && !state->is_cancelled) {
      emit(cancel_attempt(*state));
    }
    requests_.erase_if_settled(*state);
  }

  // ---- steps of one request ----

  void observe_completion(Endpoint& endpoint, const RequestState& state, const AttemptCompleted& completed,
                          Phase phase) {
    for (LogMessage& log :
         observer_.record_completion(context_, endpoints_, requests_, endpoint, state, completed, phase))
      emit(std::move(log));
  }

  // Also applies to requests that have been answered, because their attempt may still be in flight.
  void release_if_undelivered(RequestState& state) {
    if (retry_policy::should_release_in_flight(context_, state))
      emit_if_present(release_prompt_state(endpoints_, state));
  }

  void release_and_read_again(RequestState& state) {
    emit_if_present(release_prompt_state(endpoints_, state));
    state.phase = Phase::kNeedsRead;
  }

  // Retries or gives up a request whose attempt ended without a final answer.
  void retry_or_give_up(RequestState& state, AttemptStatus status) {
    if (const auto obstacle = retry_policy::retry_obstacle(context_, state, status)) {
      give_up(state, *obstacle);
    } else {
      dispatch(state);
    }
  }

  // Checks an open request when the timer has expired.
  void check_request(RequestState& state) {
    observer_.record_if_late(context_, state);
    if (state.is_in_flight) {
      check_attempt(state);
    } else if (retry_policy::is_reservation_expired(context_, state)) {
      give_up(state, GiveUpReason::kReservationExpired);
    } else {
      dispatch(state);
    }
    requests_.erase_if_settled(state);
  }

  // Migrates or cancels the attempt in flight if its endpoint no longer responds.
  void check_attempt(RequestState& state) {
    Endpoint* endpoint = endpoints_.find(state.endpoint);
    if (endpoint == nullptr) return;
    if (state.phase == Phase::kStreaming) {
      check_stream(*endpoint, state);
    } else {
      check_first_token(*endpoint, state);
    }
  }

  void check_stream(const Endpoint& endpoint, RequestState& state) {
    if (!retry_policy::should_migrate(context_, endpoint, state)) return;
    state.is_ended = true;
    emit(MigrateStream{state.request.id});
  }

  void check_first_token(Endpoint& endpoint, RequestState& state) {
    observer_.record_wait(context_, endpoint, state);
    if (retry_policy::should_cancel(context_, observer_.outliers(), observer_.shedding(), endpoints_,
                                    endpoint, state))
      emit(cancel_attempt(state));
  }

  // Starts the request's next attempt, gives the request up, or leaves it waiting for the next timer.
  void dispatch(RequestState& state) {
    const SelectionContext selection{context_, endpoints_, observer_.slow_start()};
    const DispatchDecision decision = decide_next_step(selection, observer_.balance(), state);
    switch (decision.step) {
      case NextStep::kStartAttempt:
        emit(start_attempt(context_, observer_.outliers(), endpoints_, state, *decision.endpoint,
                           decision.phase));
        break;
      case NextStep::kGiveUp:
        give_up(state, decision.reason);
        break;
      case NextStep::kWait:
        break;
    }
  }

  void give_up(RequestState& state, GiveUpReason reason) {
    end_request(state);
    emit(final_answer(state, reason));
  }

  // Ends a request that needs no further attempt.
  void end_request(RequestState& state) {
    state.is_ended = true;
    emit_if_present(release_prompt_state(endpoints_, state));
  }

  // ---- actions ----

  void emit(Action action) { actions_.push_back(std::move(action)); }

  template <typename TypedAction>
  void emit_if_present(std::optional<TypedAction> action) {
    if (action) emit(*std::move(action));
  }

  Context context_;
  bool is_started_ = false;
  bool is_timer_set_ = false;
  bool needs_subscription_ = false;  // the last poll of the endpoint list failed
  EndpointTable endpoints_;
  OpenRequests requests_;
  RequestAdmission admission_;
  ResponseObserver observer_;
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
