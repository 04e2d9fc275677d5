// One request and its response on a pooled connection.
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
  kReservation,  // a call that reserves a slot for a request
  kRelease,      // a call that releases what is reserved for a request
};

// What an exchange is for. Its HTTP request is composed when it is written, see ExchangeHandler.
struct ExchangeRequest {
  ExchangeKind kind = ExchangeKind::kNone;
  AttemptId attempt;                                         // of kAttempt and kReservation
  RequestId request_id;                                      // of the client's request that it is about
  std::shared_ptr<const engine::UpstreamRequest> message{};  // of kAttempt; empty once it is written
  engine::Time deadline{};                                   // of kAttempt
};

// How an exchange ended.
struct ExchangeOutcome {
  SlotId connection;
  ExchangeKind kind = ExchangeKind::kNone;
  AttemptId attempt;
  RequestId request_id;
  EndpointId endpoint;
  std::optional<int> http_status;  // nothing: the exchange failed without a complete response
  engine::AttemptResult result;    // of kAttempt only
};

// The starter of an exchange. Must outlive it. All calls come from the event loop's thread and may start or
// end other exchanges.
class ExchangeHandler {
 public:
  virtual ~ExchangeHandler() = default;
  // The text of the HTTP request. Called right before its first byte is written, which may be long after the
  // exchange was started. Nothing: the exchange is no longer needed; its connection goes back to the pool and
  // no further call is made.
  [[nodiscard]] virtual std::optional<std::string> compose_request(const ExchangeRequest& request) = 0;
  // The request was handed to the connection, right after compose_request(). Must start or end no exchange.
  virtual void on_request_written(const ExchangeRequest&, engine::ConnectionUse) {}
  // Complete server-sent events of a response, in order.
  virtual void on_events(AttemptId, std::string_view /*complete_events*/) {}
  // The last call of an exchange. Its connection has been closed or parked by then.
  virtual void on_exchange_ended(const ExchangeOutcome& outcome) = 0;
};

// The state of one exchange, kept in its connection. It stays readable after the exchange has ended, with
// kind kNone, until the next one begins.
struct Exchange {
  ExchangeRequest request;
  ExchangeHandler* handler = nullptr;  // set while the kind is not kNone
  bool is_request_sent = false;
  engine::Time written_at{};          // when the request was handed to the connection
  bool has_response_started = false;  // bytes of a response other than an informational one have come
  http::ResponseReader reader{std::nullopt};
  http::EventFramer framer;
  engine::AttemptResult result;  // what the events have reported so far

  [[nodiscard]] bool is_active() const { return request.kind != ExchangeKind::kNone; }
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_EXCHANGE_HPP_
