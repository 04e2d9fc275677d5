#include "script_runner.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <limits>
#include <sstream>
#include <utility>

#include "invariants.hpp"

namespace dispatcher::routing::testing {
namespace {

using std::chrono::milliseconds;

// Returns the element that a drawn number selects. The container must not be empty.
template <class Container>
const auto& element(const Container& container, int number) {
  const std::size_t index = static_cast<std::size_t>(number) % container.size();
  return *std::next(container.begin(), static_cast<std::ptrdiff_t>(index));
}

LoadReport draw_report(const Step& step) {
  LoadReport report;
  if (step.variant % 2 != 0) return report;
  report.memory_share = step.amount / 1000.0;
  report.prompt_kilotokens = step.target / 20.0;
  if (step.variant % 4 == 0) report.in_flight = step.amount / 10.0;
  return report;
}

AttemptOutcome outcome_of(AttemptStatus status, const Step& step, int cached_tokens = 0,
                          AttemptEvidence evidence = AttemptEvidence::kNone) {
  return {status, cached_tokens, evidence, draw_report(step)};
}

AttemptStatus draw_failure(const Step& step) {
  constexpr std::array kFailures = {AttemptStatus::kFull, AttemptStatus::kConnectFailed,
                                    AttemptStatus::kReset, AttemptStatus::kError};
  if (step.target % 50 == 9) return AttemptStatus::kNeverSent;
  return element(kFailures, step.amount);
}

// Draws whether the failure shows that the prompt state is gone: its reader has lost it (kStateNotFound), or
// a response had begun before it broke, so that the state was fetched (kEndpointRunning).
AttemptEvidence draw_evidence(const Step& step, AttemptStatus status) {
  if (step.amount % 3 != 0) return AttemptEvidence::kNone;
  if (status == AttemptStatus::kFull) return AttemptEvidence::kStateNotFound;
  if (status == AttemptStatus::kReset || status == AttemptStatus::kError)
    return AttemptEvidence::kEndpointRunning;
  return AttemptEvidence::kNone;
}

}  // namespace

void ScriptRunner::start() { dispatcher_.send_endpoint_list(ListKind::kCached, first_endpoints_); }

void ScriptRunner::run(const Step& step) {
  const int percent = step.kind % 100;
  if (percent < 22) return submit(step);
  if (percent < 52) return progress(step);
  if (percent < 64) return fail_attempt(step);
  if (percent < 68) return disconnect_client(step);
  if (percent < 90) return advance(step);
  if (percent < 95) return change_endpoints(step);
  if (percent < 97) return change_administrative_drain(step);
  if (percent < 98) return dispatcher_.apply_next_settings();
  if (percent < 99) return send_peer_event(step);
  send_reservation_result(step);
}

// ---- choices ----

std::optional<ScriptRunner::AttemptChoice> ScriptRunner::choose_attempt(int target,
                                                                        Selection selection) const {
  std::vector<AttemptChoice> choices;
  for (const auto& [id, request] : dispatcher_.state().requests) {
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      const ModelAttempt& attempt = request.attempts[i];
      if (!attempt.is_active) continue;
      if (selection == Selection::kAnyActive || !attempt.has_first_token) choices.push_back({&request, i});
    }
  }
  if (choices.empty()) return std::nullopt;
  return element(choices, target);
}

const ModelEndpoint& ScriptRunner::choose_endpoint(int target) const {
  return element(dispatcher_.state().endpoints, target).second;
}

// ---- clients ----

void ScriptRunner::submit(const Step& step) {
  const RequestClass& request_class = element(dispatcher_.state().settings->classes, step.target);
  const Request request = draw_request(step, request_class);
  const ModelRequest& submitted = dispatcher_.submit(request, request_class);
  require(submitted.has_final_answer || request.request_class != "unknown",
          "a request of an unknown class was not answered at once");
  const bool is_repeated = step.amount % 40 == 7;
  if (is_repeated && !submitted.is_over()) dispatcher_.handle(request);  // an open request's id is ignored
}

Request ScriptRunner::draw_request(const Step& step, const RequestClass& request_class) {
  const DispatcherState& state = dispatcher_.state();
  const Settings& settings = *state.settings;
  Request request;
  request.id = "q" + std::to_string(submitted_);
  ++submitted_;
  request.request_class = step.amount % 50 == 3 ? "unknown" : request_class.name;
  if (!settings.tenants.empty()) request.tenant = element(settings.tenants, step.variant).name;
  request.session = static_cast<std::uint64_t>(step.variant % 50);
  request.shared_prefix = static_cast<std::uint64_t>(step.amount % 7);
  request.prompt_tokens =
      step.amount > 995 ? std::numeric_limits<int>::max() : step.amount * step.amount / 30;
  request.prefix_tokens = request.shared_prefix == 0 ? 0 : request.prompt_tokens / 2;
  request.max_tokens = 100;
  // A client waits for half of its class's deadline or more.
  const double share_of_deadline = 0.5 + 0.5 * (step.target % 10) / 9.0;
  const double class_deadline = static_cast<double>(request_class.deadline.count());
  request.client_deadline =
      state.now + Duration(static_cast<std::int64_t>(class_deadline * share_of_deadline));
  request.client_retry = step.variant % 3 == 0;
  request.resubmitted = settings.may_migrate_streams && step.variant % 5 == 0;
  return request;
}

void ScriptRunner::disconnect_client(const Step& step) {
  std::vector<RequestId> connected;
  for (const auto& [id, request] : dispatcher_.state().requests) {
    if (!request.has_final_answer && !request.has_client_left) connected.push_back(id);
  }
  if (!connected.empty()) dispatcher_.disconnect_client(element(connected, step.target));
}

// ---- endpoints ----

// Advances an attempt without a fault: it is delivered, its read ends, its stream begins or its stream ends.
void ScriptRunner::progress(const Step& step) {
  const auto choice = choose_attempt(step.target, Selection::kAnyActive);
  if (!choice) return;
  const ModelRequest& request = *choice->request;
  const ModelAttempt& attempt = choice->attempt();
  if (!attempt.is_delivered) {
    if (step.variant % 3 == 0) dispatcher_.deliver_attempt(choice->id(), choice->number);
    return;
  }
  const auto complete = [&](const AttemptOutcome& outcome) {
    dispatcher_.complete_attempt(choice->id(), choice->number, outcome);
  };
  if (attempt.is_at_reader)
    return complete(outcome_of(AttemptStatus::kRead, step, request.request.prompt_tokens / 3));
  if (attempt.has_first_token) return complete(outcome_of(AttemptStatus::kServed, step));
  if (attempt.requires_prompt_state && !request.prompt_state_at)
    return complete(outcome_of(AttemptStatus::kFull, step, 0, AttemptEvidence::kStateNotFound));
  // A response may be so short that it is complete before a first token is reported.
  if (request.is_over() || step.variant % 20 == 0) return complete(outcome_of(AttemptStatus::kServed, step));
  dispatcher_.send_first_token(choice->id(), choice->number);
}

void ScriptRunner::fail_attempt(const Step& step) {
  const bool may_break_stream = step.variant % 4 == 0;
  const auto choice =
      choose_attempt(step.target, may_break_stream ? Selection::kAnyActive : Selection::kBeforeFirstToken);
  if (!choice) return;
  const ModelAttempt& attempt = choice->attempt();
  AttemptOutcome outcome = outcome_of(AttemptStatus::kReset, step);
  if (!attempt.has_first_token) {
    outcome.status = draw_failure(step);
    const bool has_prompt_state = !attempt.is_at_reader && choice->request->prompt_state_at;
    if (has_prompt_state) outcome.evidence = draw_evidence(step, outcome.status);
  }
  dispatcher_.complete_attempt(choice->id(), choice->number, outcome);
}

void ScriptRunner::advance(const Step& step) {
  constexpr std::array<Duration, 7> kTimes = {milliseconds(0),   milliseconds(1),   milliseconds(20),
                                              milliseconds(60),  milliseconds(200), milliseconds(700),
                                              milliseconds(3000)};
  dispatcher_.advance(element(kTimes, step.variant) + Duration(step.amount * 100));
}

// ---- service discovery, operators and the other process of a hot restart ----

void ScriptRunner::change_endpoints(const Step& step) {
  switch (step.variant % 10) {
    case 0:
      return dispatcher_.handle(EndpointList{ListKind::kFailed, {}});
    case 1:
      return send_shortened_list(step);
    default:
      return send_endpoint_change(step);
  }
}

// Sends a full list that leaves out some of the endpoints.
void ScriptRunner::send_shortened_list(const Step& step) {
  std::vector<EndpointInfo> endpoints;
  int number = 0;
  for (const auto& [id, endpoint] : dispatcher_.state().endpoints) {
    const int divisor = 2 + number % 5;
    ++number;
    if (step.amount % divisor != 1) endpoints.push_back(endpoint.info);
  }
  dispatcher_.send_endpoint_list(ListKind::kFull, std::move(endpoints));
}

// Returns a name that no endpoint has had before.
EndpointId ScriptRunner::replacement_of(const EndpointId& endpoint) {
  std::ostringstream name;
  name << endpoint << "n" << replaced_endpoints_;
  ++replaced_endpoints_;
  return name.str();
}

void ScriptRunner::send_endpoint_change(const Step& step) {
  EndpointInfo endpoint = choose_endpoint(step.target).info;
  endpoint.state = EndpointState::kReady;
  switch (step.variant % 10) {
    case 2:
    case 3:
      endpoint.state = EndpointState::kDraining;
      break;
    case 4:
      endpoint.state = EndpointState::kRemoved;
      break;
    case 5:
    case 6:  // its process is restarted
      endpoint.started = dispatcher_.state().now;
      break;
    case 7:  // a new machine is added
      endpoint.endpoint = replacement_of(endpoint.endpoint);
      endpoint.started = dispatcher_.state().now;
      break;
    default:
      break;
  }
  dispatcher_.send_endpoint_list(ListKind::kDelta, {endpoint});
}

void ScriptRunner::change_administrative_drain(const Step& step) {
  const EndpointId endpoint = choose_endpoint(step.target).info.endpoint;
  const bool is_drained = step.variant % 2 == 0;
  dispatcher_.set_administrative_state(
      endpoint, is_drained ? AdministrativeState::kDrained : AdministrativeState::kInService);
}

void ScriptRunner::send_peer_event(const Step& step) {
  if (step.variant % 2 == 0) return dispatcher_.handle(dispatcher_.router().learned_state());
  dispatcher_.handle(PeerForwarded{choose_endpoint(step.target).info.endpoint});
}

// Sends the result of a reservation, whether or not the router has requested one.
void ScriptRunner::send_reservation_result(const Step& step) {
  const DispatcherState& state = dispatcher_.state();
  if (state.requests.empty()) return;
  const RequestId request = element(state.requests, step.target).first;
  const bool is_reserved = step.variant % 2 == 0;
  const auto outcome = is_reserved ? ReservationOutcome::kReserved : ReservationOutcome::kDenied;
  dispatcher_.handle(ReservationResult{request, state.endpoints.begin()->first, outcome});
}

// ---- the end ----

void ScriptRunner::disconnect_everything() {
  const std::size_t request_count = dispatcher_.state().requests.size();
  for (std::size_t i = 0; i < request_count; ++i) disconnect_client({});
  while (const auto choice = choose_attempt(0, Selection::kAnyActive))
    dispatcher_.complete_attempt(choice->id(), choice->number, {AttemptStatus::kReset});
}

void ScriptRunner::serve_streams() {
  for (const auto& [id, request] : dispatcher_.state().requests) {
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      const ModelAttempt& attempt = request.attempts[i];
      if (attempt.is_active && attempt.has_first_token)
        dispatcher_.complete_attempt(id, i, {AttemptStatus::kServed});
    }
  }
}

bool ScriptRunner::has_open_request() const {
  return std::ranges::any_of(dispatcher_.state().requests, [](const auto& entry) {
    return !entry.second.is_over() || entry.second.active_attempt_count() > 0;
  });
}

void ScriptRunner::finish(Ending ending) {
  constexpr int kMaxRounds = 5000;
  dispatcher_.add_to_transcript("-- the end: no more requests --");
  if (ending == Ending::kDisconnect) disconnect_everything();
  for (int round = 0; has_open_request() || !dispatcher_.state().timers.empty(); ++round) {
    require(round < kMaxRounds, "requests or timers are left after the last round");
    serve_streams();
    dispatcher_.advance(milliseconds(100));
  }
  check_nothing_left(dispatcher_.state(), router().table_sizes());
  dispatcher_.send_endpoint_list(ListKind::kFull, {dispatcher_.state().endpoints.begin()->second.info});
  check_bounded_tables(dispatcher_.state(), router().table_sizes());
}

}  // namespace dispatcher::routing::testing
