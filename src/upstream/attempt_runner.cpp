#include "upstream/attempt_runner.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "upstream/protocol.hpp"

namespace dispatcher::upstream {

using engine::AttemptEndReason;
using routing::AttemptEvidence;
using routing::AttemptStatus;

namespace {

// The shortest time left for which a request is written. The time left is sent to the endpoint in whole
// milliseconds, so a shorter one would be sent as zero.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(1);

// Returns the result of an attempt of which nothing was written.
engine::AttemptResult unsent_result(AttemptStatus status, AttemptEvidence evidence, AttemptEndReason reason) {
  engine::AttemptResult result{status, 0, evidence, {}};
  result.reason = reason;
  return result;
}

}  // namespace

AttemptRunner::AttemptRunner(ConnectionPool& pool, ExchangeRunner& exchanges, ReservationClient& reservations,
                             engine::TimerQueue& timers, engine::Clock clock)
    : pool_(pool),
      exchanges_(exchanges),
      reservations_(reservations),
      timers_(timers),
      clock_(std::move(clock)) {}

void AttemptRunner::start(const AttemptParameters& parameters) {
  const AttemptId attempt = parameters.attempt;
  const Duration usual = pool_.connect_timeout();
  const Duration requested = parameters.connect_by == Time{} ? usual : parameters.connect_by - clock_();
  const Duration timeout = std::clamp(requested, Duration(0), usual);
  const SlotId id = pool_.acquire(parameters.endpoint, timeout, ExchangeKind::kAttempt);
  if (!id)
    return fail_unsent(attempt, unsent_result(AttemptStatus::kConnectFailed, AttemptEvidence::kNone,
                                              AttemptEndReason::kNoConnectionAllowed));
  connections_[attempt] = id;
  exchanges_.start(
      id, *this,
      {ExchangeKind::kAttempt, attempt, parameters.request->id, parameters.request, parameters.deadline});
}

// Ends an attempt of which nothing was sent. Notifies the engine from a timer, because the engine must not be
// called back before its own call has returned.
void AttemptRunner::fail_unsent(AttemptId attempt, const engine::AttemptResult& result) {
  connections_[attempt] = SlotId{};
  timers_.add(clock_(), [this, attempt, result] {
    if (connections_.erase(attempt) > 0) engine_->on_attempt_completed(attempt, result);
  });
}

bool AttemptRunner::cancel(AttemptId attempt) {
  const auto it = connections_.find(attempt);
  if (it == connections_.end()) return true;
  const SlotId id = it->second;
  connections_.erase(it);
  const PooledConnection* connection = pool_.find(id);
  const bool is_sent = connection != nullptr && connection->exchange.is_request_sent;
  pool_.close(id, CloseReason::kAttemptEnded);
  return is_sent;
}

void AttemptRunner::pause(AttemptId attempt) {
  if (PooledConnection* connection = connection_of(attempt)) connection->transport->pause_reading();
}

void AttemptRunner::resume(AttemptId attempt) {
  if (PooledConnection* connection = connection_of(attempt)) connection->transport->read();
}

bool AttemptRunner::is_connected(AttemptId attempt) {
  const PooledConnection* connection = connection_of(attempt);
  return connection != nullptr && connection->is_connected;
}

bool AttemptRunner::has_unread_response(AttemptId attempt) {
  const PooledConnection* connection = connection_of(attempt);
  return connection != nullptr && connection->is_connected && connection->transport->is_readable();
}

bool AttemptRunner::is_endpoint_silent(AttemptId attempt) {
  const PooledConnection* connection = connection_of(attempt);
  if (connection == nullptr || !connection->exchange.is_request_sent) return false;
  return pool_.endpoint_of(*connection).last_received <= connection->exchange.written_at;
}

PooledConnection* AttemptRunner::connection_of(AttemptId attempt) {
  const auto it = connections_.find(attempt);
  return it == connections_.end() ? nullptr : pool_.find(it->second);
}

std::optional<std::string> AttemptRunner::compose_request(const ExchangeRequest& request) {
  if (!engine_->is_still_needed(request.attempt)) {
    fail_unsent(request.attempt, unsent_result(AttemptStatus::kNeverSent, AttemptEvidence::kNone,
                                               AttemptEndReason::kClientDisconnected));
    return std::nullopt;
  }
  const Duration time_left = request.deadline - clock_();
  if (time_left < kMinTimeLeft) {  // same result as if the deadline had ended it while connecting
    fail_unsent(request.attempt,
                unsent_result(AttemptStatus::kConnectFailed, AttemptEvidence::kEndpointRunning,
                              AttemptEndReason::kNoTimeLeft));
    return std::nullopt;
  }
  reservations_.cancel_release(request.request_id);  // the attempt may leave a reservation, which must stay
  return request_text(*request.message, time_left);
}

void AttemptRunner::on_request_written(const ExchangeRequest& request, engine::ConnectionUse use) {
  engine_->on_attempt_written(request.attempt, use);
}

void AttemptRunner::on_events(AttemptId attempt, std::string_view complete_events) {
  engine_->on_events(attempt, complete_events);
}

void AttemptRunner::on_exchange_ended(const ExchangeOutcome& outcome) {
  if (connections_.erase(outcome.attempt) > 0) engine_->on_attempt_completed(outcome.attempt, outcome.result);
}

}  // namespace dispatcher::upstream
