#include "invariants.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <sstream>

namespace dispatcher::routing::testing {
namespace {

bool may_have_run_or_runs(const ModelAttempt& attempt) {
  return !attempt.is_at_reader && (attempt.is_active || attempt.may_have_run);
}

// A keyed request that may have run may be sent again only within the deduplication scope of the earlier
// attempt, and only until its deduplication window ends.
void check_keyed_retry(const DispatcherState& state, const ModelRequest& request, const StartAttempt& start,
                       const ModelAttempt& earlier) {
  const RequestClass& request_class = request.request_class;
  const Time key_expires_at = earlier.started_at + request_class.deduplication_window;
  require(state.now <= key_expires_at,
          "keyed: sent after the deduplication window of an attempt that may have run");
  require(start.connect_by != Time{} && start.connect_by <= key_expires_at,
          "keyed: may wait for a connection past the deduplication window of an attempt that may have run");
  const EndpointInfo& ran_at = state.endpoints.at(earlier.endpoint).info;
  const EndpointInfo& target = state.endpoints.at(start.endpoint).info;
  const DeduplicationScope scope = request_class.deduplication_scope;
  require(scope == DeduplicationScope::kAll || ran_at.zone == target.zone,
          "keyed: sent outside the deduplication scope");
  require(scope != DeduplicationScope::kCell || ran_at.cell == target.cell,
          "keyed: sent outside the deduplication scope");
}

// A non-idempotent request may be sent again only if each earlier attempt is proven never to have run.
// Reading the prompt of a keyed request again counts as an attempt like any other.
void check_repeated_effect(const DispatcherState& state, const ModelRequest& request,
                           const StartAttempt& start) {
  for (const ModelAttempt& earlier : request.attempts) {
    if (!may_have_run_or_runs(earlier)) continue;
    const Idempotency idempotency = request.request_class.idempotency;
    require(idempotency != Idempotency::kNonIdempotent,
            "non-idempotent: sent after an attempt that may have run");
    if (idempotency == Idempotency::kKeyed) check_keyed_retry(state, request, start, earlier);
  }
}

void check_target(const DispatcherState& state, const StartAttempt& start) {
  const auto it = state.endpoints.find(start.endpoint);
  require(it != state.endpoints.end(), "sent to an endpoint that no list named");
  const ModelEndpoint& target = it->second;
  require(!target.is_offline, "sent to an endpoint that is offline");
  require(!target.drained_since || state.now <= *target.drained_since + state.settings->drain_grace,
          "sent to a draining or removed endpoint after the drain grace");
}

void check_attempt_count(const ModelRequest& request) {
  const auto uncounted = std::ranges::count_if(
      request.attempts, [](const ModelAttempt& attempt) { return attempt.is_uncounted; });
  const auto counted = static_cast<std::ptrdiff_t>(request.attempts.size()) - uncounted;
  require(counted < request.settings->max_attempts, "more attempts than allowed");
}

void check_reservation_while_connecting(const ModelRequest& request, const StartAttempt& start) {
  if (!request.prompt_state_at || !request.settings->reservation_expires_until_delivery) return;
  const Time expires_at = request.prompt_state_idle_since + request.settings->reservation_limit;
  require(start.connect_by != Time{} && start.connect_by <= expires_at,
          "a held prompt state may wait past the reservation limit for a connection");
}

void check_final_answer(const DispatcherState& state, const ModelRequest& request,
                        const std::string& answer) {
  require(!request.has_final_answer, answer + ": a second final answer");
  require(!request.has_first_token, answer + " after the first token");
  require(!request.has_client_left, answer + " after its client disconnected");
  require(state.now <= request.request.client_deadline + request.settings->answer_slack,
          answer + " after its deadline and the answer slack");
}

// Returns whether the client may send the request again: it had no effect, or a second effect does no harm.
bool is_safe_to_retry(const ModelRequest& request) {
  const RequestClass& request_class = request.request_class;
  if (request_class.idempotency == Idempotency::kIdempotent) return true;
  if (request_class.idempotency == Idempotency::kKeyed &&
      request_class.deduplication_scope == DeduplicationScope::kAll)
    return true;
  return std::ranges::none_of(request.attempts, may_have_run_or_runs);
}

}  // namespace

void require(bool holds, const std::string& rule) {
  if (!holds) throw InvariantViolation(rule);
}

const ModelRequest& expect_submitted(const DispatcherState& state, const RequestId& id, const char* action) {
  const auto it = state.requests.find(id);
  require(it != state.requests.end(), std::string(action) + " of a request that was never submitted");
  return it->second;
}

void check_start_attempt(const DispatcherState& state, const StartAttempt& start) {
  const ModelRequest& request = expect_submitted(state, start.request, "an attempt");
  require(!request.has_final_answer, "sent after the final answer");
  require(!request.has_first_token, "sent after the first token");
  require(!request.has_client_left, "sent after its client disconnected");
  require(request.active_attempt_count() == 0 || request.settings->may_hedge,
          "two attempts in flight though hedging is not allowed");
  check_target(state, start);
  check_attempt_count(request);
  check_repeated_effect(state, request, start);
  check_reservation_while_connecting(request, start);
}

void check_cancel_attempt(const DispatcherState& state, const CancelAttempt& cancel) {
  require(state.settings->may_cancel, "cancelled though cancelling is not allowed");
  const ModelRequest& request = expect_submitted(state, cancel.request, "a cancellation");
  require(cancel.attempt >= 0 && cancel.attempt < static_cast<int>(request.attempts.size()),
          "cancelled an attempt that was never made");
}

void check_reject(const DispatcherState& state, const Reject& reject) {
  const ModelRequest& request = expect_submitted(state, reject.request, "a rejection");
  check_final_answer(state, request, "rejected");
  require(is_safe_to_retry(request), "rejected a request that may have run");
  if (!reject.retry_after) return;
  require(request.settings->retry_advice, "a retry time though none may be given");
  require(*reject.retry_after >= Duration(0) && *reject.retry_after <= request.settings->max_retry_after,
          "a retry time that is out of bounds");
}

void check_fail(const DispatcherState& state, const Fail& fail) {
  check_final_answer(state, expect_submitted(state, fail.request, "a failure"), "failed");
}

void check_migrate_stream(const DispatcherState& state, const MigrateStream& migrate) {
  const ModelRequest& request = expect_submitted(state, migrate.request, "a migration");
  require(state.settings->may_migrate_streams, "migrated though streams may not be migrated");
  require(request.has_first_token && !request.has_final_answer && !request.has_client_left,
          "migrated a request that has no running stream");
}

void check_reserve_slot(const DispatcherState& state, const ReserveSlot& reserve) {
  expect_submitted(state, reserve.request, "a reservation");
  require(state.settings->may_reserve_slots, "reserved a slot though that is not allowed");
  require(state.endpoints.contains(reserve.endpoint), "reserved a slot at an endpoint that no list named");
}

void check_release_reservation(const DispatcherState& state, const ReleaseReservation& release) {
  expect_submitted(state, release.request, "a release");
}

void check_set_timer(const SetTimer& timer) {
  constexpr Duration kMaxTimer = std::chrono::minutes(71);  // as microseconds, this fits into 32 bits
  require(timer.after >= Duration(0) && timer.after <= kMaxTimer, "a timer that is out of bounds");
}

void check_subscribe(const DispatcherState& state) {
  require(state.settings->polls_endpoint_list,
          "subscribed to an endpoint list that is delivered without a poll");
}

void check_time_limits(const DispatcherState& state) {
  for (const auto& [id, request] : state.requests) {
    std::ostringstream name;
    name << id;
    require(
        request.is_over() || state.now <= request.request.client_deadline + request.settings->answer_slack,
        name.str() + " has no final answer within its deadline and the answer slack");
    // If attempts are written to sockets, one that has not reached its endpoint does not extend the limit.
    const bool can_be_undelivered = request.settings->reservation_expires_until_delivery;
    const bool is_in_use =
        can_be_undelivered ? request.has_delivered_attempt() : request.active_attempt_count() > 0;
    require(!request.prompt_state_at || is_in_use ||
                state.now <= request.prompt_state_idle_since + request.settings->reservation_limit,
            name.str() + ": its prompt state is held past the reservation limit");
  }
}

void check_nothing_left(const DispatcherState& state, const TableSizes& sizes) {
  require(std::ranges::none_of(state.requests,
                               [](const auto& entry) { return entry.second.prompt_state_at.has_value(); }),
          "a prompt state is still held");
  require(sizes.requests == 0, "requests are left in the table");
}

void check_bounded_tables(const DispatcherState& state, const TableSizes& sizes) {
  require(sizes.endpoints <= 1, "endpoints that were removed are left in the table");
  require(sizes.index_keys <= 2 * state.requests.size(),
          "more prefixes are indexed than requests can have brought");
}

}  // namespace dispatcher::routing::testing
