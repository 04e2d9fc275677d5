#include "upstream/exchange_runner.hpp"

#include <optional>
#include <string>
#include <utility>

#include "upstream/protocol.hpp"

namespace dispatcher::upstream {

using engine::AttemptEndReason;
using routing::AttemptEvidence;
using routing::AttemptStatus;

namespace {

// The longest time from the start of an attempt's response to its first event. An endpoint sends the head of
// a response together with the first token, so a response without an event by then has failed.
constexpr Duration kFirstEventTimeout = std::chrono::milliseconds(1000);

unsigned http_status(Exchange& exchange) { return exchange.reader.message().result_int(); }

// Returns whether the response carries the events of an attempt's stream.
bool is_event_stream(Exchange& exchange) {
  return exchange.request.kind == ExchangeKind::kAttempt && http_status(exchange) == kHttpOk;
}

bool is_informational(Exchange& exchange) { return http_status(exchange) / 100 == 1; }

ExchangeOutcome make_outcome(SlotId id, const PooledConnection& connection) {
  const ExchangeRequest& request = connection.exchange.request;
  return {id, request.kind, request.attempt, request.request_id, connection.endpoint, {}, {}};
}

}  // namespace

ExchangeRunner::ExchangeRunner(ConnectionPool& pool, engine::TimerQueue& timers, engine::Clock clock,
                               engine::Log log)
    : pool_(pool), timers_(timers), clock_(std::move(clock)), log_(std::move(log)) {
  pool_.set_handler(*this);
}

// ---- the request ----

void ExchangeRunner::start(SlotId id, ExchangeHandler& handler, ExchangeRequest request) {
  PooledConnection& connection = *pool_.find(id);
  Exchange& exchange = connection.exchange;
  exchange.request = std::move(request);
  exchange.handler = &handler;
  exchange.is_request_sent = false;
  exchange.has_response_started = false;
  exchange.reader.reset();
  exchange.framer = {};
  exchange.result = {};
  if (exchange.request.kind == ExchangeKind::kAttempt) ++pool_.endpoint_of(connection).running_attempts;
  if (connection.is_connected) write_request(id, connection);
}

void ExchangeRunner::write_request(SlotId id, PooledConnection& connection) {
  Exchange& exchange = connection.exchange;
  if (!exchange.is_active()) return pool_.park(id);
  const std::optional<std::string> text = exchange.handler->compose_request(exchange.request);
  exchange.request.message.reset();
  if (!text) return pool_.park(id);
  connection.transport->write(*text);
  exchange.written_at = clock_();
  exchange.handler->on_request_written(
      exchange.request, connection.is_reused ? engine::ConnectionUse::kReused : engine::ConnectionUse::kNew);
  pool_.endpoint_of(connection).on_request_written(clock_());
  connection.transport->read();
}

void ExchangeRunner::on_connected(SlotId id, net::error_code error) {
  PooledConnection* connection = pool_.find(id);
  if (connection == nullptr) return;
  if (error) return on_connection_broken(id, AttemptEndReason::kConnectRefused);
  pool_.on_connected(*connection);
  const ExchangeKind kind = connection->exchange.request.kind;
  const bool needs_current_endpoint = kind == ExchangeKind::kAttempt || kind == ExchangeKind::kReservation;
  // A release may be sent to any running endpoint, even to one that is draining.
  if (needs_current_endpoint && pool_.is_outdated(*connection))
    return on_connection_broken(id, AttemptEndReason::kEndpointChanged);
  write_request(id, *connection);
}

void ExchangeRunner::on_sent(SlotId id) {
  PooledConnection* connection = pool_.find(id);
  if (connection == nullptr) return;
  if (connection->transport->output().empty()) connection->exchange.is_request_sent = true;
}

// ---- the response ----

void ExchangeRunner::resume_response(SlotId id, ExchangeHandler& handler, AttemptId attempt,
                                     const ResponsePosition& position, std::string_view unread) {
  PooledConnection& connection = *pool_.find(id);
  Exchange& exchange = connection.exchange;
  exchange.request.kind = ExchangeKind::kAttempt;
  exchange.request.attempt = attempt;
  exchange.handler = &handler;
  exchange.is_request_sent = true;
  exchange.has_response_started = true;
  exchange.reader.resume_chunked(
      position.chunk_left, position.keep_alive ? http::Persistence::kKeepAlive : http::Persistence::kClose);
  ++pool_.endpoint_of(connection).running_attempts;
  connection.transport->append_input(unread);
  // The unread bytes may complete the response, and the handler must not be called before this call returns.
  timers_.add(clock_(), [this, id] {
    if (pool_.find(id) == nullptr) return;
    on_data(id);
    PooledConnection* remaining = pool_.find(id);
    if (remaining != nullptr && remaining->exchange.is_active()) remaining->transport->read();
  });
}

void ExchangeRunner::on_data(SlotId id) {
  if (PooledConnection* connection = pool_.find(id)) read_response(id, *connection);
}

void ExchangeRunner::read_response(SlotId id, PooledConnection& connection) {
  Exchange& exchange = connection.exchange;
  if (!exchange.is_active()) return pool_.close(id, CloseReason::kUnsolicitedBytes);
  pool_.endpoint_of(connection).on_bytes_received(clock_());
  if (!exchange.is_request_sent) {  // its request is not completely written
    log_("endpoint " + connection.endpoint.value() + " sent a response before its request was written");
    return on_connection_broken(id, AttemptEndReason::kEarlyResponse);
  }
  const http::ReadStatus progress = parse_response(id, connection);
  if (progress == http::ReadStatus::kMalformed)
    return on_malformed_response(id, exchange.reader.error().message());
  if (exchange.reader.is_head_complete() && is_event_stream(exchange)) {
    forward_events(id, exchange.reader.take_body());
  }
  // The handler of the events may have ended the exchange.
  PooledConnection* remaining = pool_.find(id);
  if (remaining == nullptr || !remaining->exchange.is_active()) return;
  Exchange& unfinished = remaining->exchange;
  if (unfinished.reader.message().body().size() > http::kMaxBodyBytes || unfinished.framer.is_too_long()) {
    return on_malformed_response(id, "event or body is too long");
  }
  if (progress == http::ReadStatus::kComplete) complete_exchange(id);
}

// Skips informational responses, which may precede the final response (RFC 9110, section 15.2).
http::ReadStatus ExchangeRunner::parse_response(SlotId id, PooledConnection& connection) {
  Exchange& exchange = connection.exchange;
  net::RingBuffer& input = connection.transport->input();
  http::ReadStatus progress = exchange.reader.read(input);
  while (progress == http::ReadStatus::kComplete && is_informational(exchange)) {
    exchange.reader.reset();
    progress = exchange.reader.read(input);
  }
  if (!exchange.reader.has_started() || exchange.has_response_started) return progress;
  exchange.has_response_started = true;
  if (exchange.request.kind == ExchangeKind::kAttempt) {
    connection.timer = timers_.add(clock_() + kFirstEventTimeout,
                                   [this, id] { on_malformed_response(id, "no event in time"); });
  }
  return progress;
}

// Forwards complete events at once, and records what they report besides their text.
void ExchangeRunner::forward_events(SlotId id, std::string_view bytes) {
  PooledConnection& connection = *pool_.find(id);
  Exchange& exchange = connection.exchange;
  std::string complete_events;
  for (const std::string& event : exchange.framer.append(bytes)) {
    record_event_metadata(event, exchange.result);
    complete_events += event;
  }
  if (complete_events.empty()) return;
  timers_.drop(connection.timer);
  exchange.handler->on_events(exchange.request.attempt, complete_events);
}

void ExchangeRunner::complete_exchange(SlotId id) {
  Exchange& exchange = pool_.find(id)->exchange;
  const std::string last_event = exchange.framer.finish();
  if (!last_event.empty()) exchange.handler->on_events(exchange.request.attempt, last_event);
  // The handler of the event may have ended the exchange.
  PooledConnection* connection = pool_.find(id);
  if (connection == nullptr || !connection->exchange.is_active()) return;
  finish_complete_exchange(id, *connection);
}

void ExchangeRunner::finish_complete_exchange(SlotId id, PooledConnection& connection) {
  Exchange& exchange = connection.exchange;
  timers_.drop(connection.timer);
  ExchangeHandler& handler = *exchange.handler;
  ExchangeOutcome outcome = make_outcome(id, connection);
  const int status = static_cast<int>(http_status(exchange));
  outcome.http_status = status;
  if (outcome.kind == ExchangeKind::kAttempt) {
    outcome.result =
        interpret_response(exchange.reader.message(), exchange.framer.incomplete_event(), exchange.result);
    outcome.result.reason = outcome.result.invalid_request ? AttemptEndReason::kInvalidRequest
                                                           : AttemptEndReason::kResponseComplete;
    if (!is_expected_status(status)) {
      log_("endpoint " + outcome.endpoint.value() + " answered with unexpected status " +
           std::to_string(status));
    }
  }
  // Bytes after the response belong to no exchange; a connection that has received such bytes is not kept.
  const bool has_no_excess_bytes = connection.transport->input().empty();
  if (exchange.reader.keep_alive() && has_no_excess_bytes && exchange.is_request_sent) {
    pool_.park(id);
  } else {
    pool_.close(id, CloseReason::kResponseEnded);
  }
  if (Endpoint* endpoint = pool_.find_endpoint(outcome.endpoint)) endpoint->on_exchange_completed();
  handler.on_exchange_ended(outcome);
}

// ---- failures ----

void ExchangeRunner::on_ended(SlotId id, net::error_code error) {
  PooledConnection* connection = pool_.find(id);
  if (connection == nullptr) return;
  Exchange& exchange = connection->exchange;
  // A body with neither a length nor chunks ends with its connection (RFC 9112, section 6.3).
  const bool is_response_end = exchange.is_active() && error == boost::asio::error::eof &&
                               exchange.reader.has_started() &&
                               exchange.reader.end() == http::ReadStatus::kComplete;
  if (!is_response_end) return on_connection_broken(id, AttemptEndReason::kConnectionClosed);
  if (is_event_stream(exchange)) forward_events(id, exchange.reader.take_body());
  connection = pool_.find(id);
  if (connection != nullptr && connection->exchange.is_active()) complete_exchange(id);
}

// Called when a connection has failed or could not be established.
void ExchangeRunner::on_connection_broken(SlotId id, AttemptEndReason reason) {
  const PooledConnection* connection = pool_.find(id);
  if (connection == nullptr) return;
  const bool is_sent = connection->exchange.is_request_sent;
  fail_exchange(id, is_sent ? AttemptStatus::kReset : AttemptStatus::kConnectFailed, reason);
}

// Called when a response can't be parsed. The endpoint runs and may have executed the request.
void ExchangeRunner::on_malformed_response(SlotId id, std::string_view reason) {
  const PooledConnection* connection = pool_.find(id);
  if (connection == nullptr) return;
  log_("endpoint " + connection->endpoint.value() + " sent a malformed response: " + std::string(reason));
  fail_exchange(id, AttemptStatus::kError, AttemptEndReason::kMalformedResponse);
}

void ExchangeRunner::fail_exchange(SlotId id, AttemptStatus status, AttemptEndReason reason,
                                   FailureAttribution attribution) {
  const PooledConnection* connection = pool_.find(id);
  if (connection == nullptr) return;
  const Exchange& exchange = connection->exchange;
  ExchangeHandler* handler = exchange.handler;
  ExchangeOutcome outcome = make_outcome(id, *connection);
  outcome.result = exchange.result;
  outcome.result.status = status;
  outcome.result.reason = reason;
  const bool failed_once_connected = status == AttemptStatus::kConnectFailed && connection->is_connected;
  const bool is_endpoint_running = exchange.has_response_started || failed_once_connected;
  const bool is_exempt = attribution == FailureAttribution::kNone;
  outcome.result.evidence =
      is_endpoint_running || is_exempt ? AttemptEvidence::kEndpointRunning : AttemptEvidence::kNone;
  if (connection->is_reused && !exchange.has_response_started) pool_.quarantine_reuse();
  pool_.close(id, CloseReason::kExchangeFailed);
  if (handler != nullptr) handler->on_exchange_ended(outcome);
}

}  // namespace dispatcher::upstream
