// An exchange: one request and its response on a pooled connection.
#ifndef DISPATCHER_UPSTREAM_EXCHANGE_HPP_
#define DISPATCHER_UPSTREAM_EXCHANGE_HPP_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "engine/engine.hpp"
#include "http/event_framer.hpp"
#include "http/message_reader.hpp"
#include "net/slot_table.hpp"

namespace dispatcher::upstream {

using engine::AttemptId;
using engine::EndpointId;
using engine::RequestId;
using net::SlotId;

// What a connection is used for.
enum class ExchangeKind {
  kNone,         // idle, or being opened for an exchange that has been cancelled
  kAttempt,      // an attempt of a client's request
  kReservation,  // a call that reserves a slot for a client's request
  kRelease,      // a call that releases what is reserved for a client's request
};

// The purpose of an exchange. Its HTTP request is composed when it is written; see ExchangeHandler.
struct ExchangeRequest {
  ExchangeKind kind = ExchangeKind::kNone;
  AttemptId attempt;     // set for kAttempt and kReservation
  RequestId request_id;  // of the client's request that the exchange serves
  std::shared_ptr<const engine::UpstreamRequest> message{};  // set for kAttempt until it is written
  engine::Time deadline{};                                   // set for kAttempt
};

// How an exchange ended.
struct ExchangeOutcome {
  SlotId connection;
  ExchangeKind kind = ExchangeKind::kNone;
  AttemptId attempt;
  RequestId request_id;
  EndpointId endpoint;
  std::optional<int> http_status;  // empty if the exchange failed without a complete response
  engine::AttemptResult result;    // valid for kAttempt only
};

// Implemented by the class that starts an exchange, which must outlive the exchange. All functions are called
// on the event loop's thread and may start or end other exchanges, except where noted.
class ExchangeHandler {
 public:
  virtual ~ExchangeHandler() = default;
  // Returns the text of the HTTP request. Called right before its first byte is written, which may be long
  // after the exchange was started. Returns nothing if the exchange is no longer needed: its connection then
  // returns to the pool, and no further function is called.
  [[nodiscard]] virtual std::optional<std::string> compose_request(const ExchangeRequest& request) = 0;
  // Called right after compose_request(), once the request was handed to the connection. Must not start or
  // end an exchange.
  virtual void on_request_written(const ExchangeRequest&, engine::ConnectionUse) {}
  // Called with complete server-sent events of a response, in order.
  virtual void on_events(AttemptId, std::string_view /*complete_events*/) {}
  // Called last, after the exchange's connection has been closed or parked.
  virtual void on_exchange_ended(const ExchangeOutcome& outcome) = 0;
};

// The state of one exchange, stored in its connection. It stays readable after the exchange has ended, with
// kind kNone, until the connection's next exchange begins.
struct Exchange {
  ExchangeRequest request;
  ExchangeHandler* handler = nullptr;  // set while the kind is not kNone
  bool is_request_sent = false;
  engine::Time written_at{};          // when the request was handed to the connection
  bool has_response_started = false;  // bytes of a response that is not informational have arrived
  http::ResponseReader reader{std::nullopt};
  http::EventFramer framer;
  engine::AttemptResult result;  // what the response's events have reported so far

  [[nodiscard]] bool is_active() const { return request.kind != ExchangeKind::kNone; }
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_EXCHANGE_HPP_
