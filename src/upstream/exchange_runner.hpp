// Runs HTTP/1.1 exchanges on pooled connections: writes requests, reads responses and reports the outcomes.
#ifndef DISPATCHER_UPSTREAM_EXCHANGE_RUNNER_HPP_
#define DISPATCHER_UPSTREAM_EXCHANGE_RUNNER_HPP_

#include <cstdint>
#include <string_view>

#include "engine/engine.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/exchange.hpp"

namespace dispatcher::upstream {

// Whether a failure counts against the endpoint's health.
enum class FailureAttribution { kEndpoint, kNone };

// The position in a chunked response that another process began to read.
struct ResponsePosition {
  std::uint64_t chunk_left = 0;  // bytes of the current chunk that are still to be read
  bool keep_alive = true;        // the connection may be reused after the response
};

// Runs one exchange at a time on each pooled connection. Never retries a request: the router decides on
// retries. Owned by ReplicaClient; runs on the event loop's thread. ExchangeHandlers are called from events
// of connections and timers. In addition, start() on an established connection calls compose_request() and
// on_request_written(), and fail_exchange() calls on_exchange_ended().
class ExchangeRunner : private ConnectionHandler {
 public:
  ExchangeRunner(ConnectionPool& pool, engine::TimerQueue& timers, engine::Clock clock, engine::Log log);
  ExchangeRunner(const ExchangeRunner&) = delete;
  ExchangeRunner& operator=(const ExchangeRunner&) = delete;

  // Begins an exchange on a connection that pool.acquire() returned. Its request is written once the
  // connection is established.
  void start(SlotId id, ExchangeHandler& handler, ExchangeRequest request);
  // Continues an attempt's response on a connection that pool.adopt() returned. `unread` holds bytes of the
  // response that the other process has received and not parsed.
  void resume_response(SlotId id, ExchangeHandler& handler, AttemptId attempt,
                       const ResponsePosition& position, std::string_view unread);
  // Ends an exchange without a complete response and closes its connection. Ignores unknown ids.
  void fail_exchange(SlotId id, routing::AttemptStatus status, engine::AttemptEndReason reason,
                     FailureAttribution attribution = FailureAttribution::kEndpoint);

 private:
  void on_connected(SlotId id, net::error_code error) override;
  void on_data(SlotId id) override;
  void on_sent(SlotId id) override;
  void on_ended(SlotId id, net::error_code error) override;
  void on_connect_timeout(SlotId id) override {
    on_connection_broken(id, engine::AttemptEndReason::kConnectTimeout);
  }

  void write_request(SlotId id, PooledConnection& connection);
  void read_response(SlotId id, PooledConnection& connection);
  [[nodiscard]] http::ReadStatus parse_response(SlotId id, PooledConnection& connection);
  void forward_events(SlotId id, std::string_view bytes);
  void complete_exchange(SlotId id);
  void finish_complete_exchange(SlotId id, PooledConnection& connection);
  void on_connection_broken(SlotId id, engine::AttemptEndReason reason);
  void on_malformed_response(SlotId id, std::string_view reason);

  ConnectionPool& pool_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  engine::Log log_;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_EXCHANGE_RUNNER_HPP_
