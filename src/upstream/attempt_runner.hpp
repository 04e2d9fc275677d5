// Runs attempts on connections to endpoints and notifies the engine of their progress.
#ifndef DISPATCHER_UPSTREAM_ATTEMPT_RUNNER_HPP_
#define DISPATCHER_UPSTREAM_ATTEMPT_RUNNER_HPP_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "engine/engine.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/exchange_runner.hpp"
#include "upstream/reservation_client.hpp"

namespace dispatcher::upstream {

// The request of an attempt, its endpoint and its time limits.
struct AttemptParameters {
  AttemptId attempt;
  EndpointId endpoint;
  std::shared_ptr<const engine::UpstreamRequest> request;
  Time deadline{};    // of the attempt; the time left until then is sent to the endpoint
  Time connect_by{};  // when a new connection must be established; zero: usual timeout
};

// Starts, pauses and ends attempts. Owned by ReplicaClient. Runs on the event loop's thread. Calls the engine
// only from events and timers, except for Engine::is_still_needed() and Engine::on_attempt_written().
class AttemptRunner : public ExchangeHandler {
 public:
  AttemptRunner(ConnectionPool& pool, ExchangeRunner& exchanges, ReservationClient& reservations,
                engine::TimerQueue& timers, engine::Clock clock);
  // Sets the engine to notify. Must be called before the first attempt; `engine` must outlive the last event.
  void attach(engine::Engine& engine) { engine_ = &engine; }

  // Starts an attempt on a pooled or a new connection. If no connection is allowed, the attempt fails from a
  // timer, after this call has returned.
  void start(const AttemptParameters& parameters);
  // Ends an attempt without notifying the engine. Returns false if the endpoint can't have received the
  // complete request.
  [[nodiscard]] bool cancel(AttemptId attempt);
  // Stops reading an attempt's response until resume().
  void pause(AttemptId attempt);
  void resume(AttemptId attempt);
  // Returns whether the attempt has an established connection.
  [[nodiscard]] bool is_connected(AttemptId attempt);
  // Returns whether the kernel holds bytes of the attempt's response, or its end.
  [[nodiscard]] bool has_unread_response(AttemptId attempt);
  // Returns whether no bytes have arrived from the attempt's endpoint since its request was written.
  [[nodiscard]] bool is_endpoint_silent(AttemptId attempt);

  // For StreamHandover: returns the attempt's connection, or null if it has none.
  [[nodiscard]] PooledConnection* connection_of(AttemptId attempt);
  // For StreamHandover: adds an attempt that runs on `connection`.
  void add(AttemptId attempt, SlotId connection) { connections_[attempt] = connection; }
  // For StreamHandover: removes an attempt, which must be known, and returns its connection.
  [[nodiscard]] SlotId remove(AttemptId attempt) { return connections_.extract(attempt).mapped(); }

 private:
  [[nodiscard]] std::optional<std::string> compose_request(const ExchangeRequest& request) override;
  void on_request_written(const ExchangeRequest& request, engine::ConnectionUse use) override;
  void on_events(AttemptId attempt, std::string_view complete_events) override;
  void on_exchange_ended(const ExchangeOutcome& outcome) override;
  void fail_unsent(AttemptId attempt, const engine::AttemptResult& result);

  ConnectionPool& pool_;
  ExchangeRunner& exchanges_;
  ReservationClient& reservations_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  engine::Engine* engine_ = nullptr;
  // The connection of each attempt. An empty id marks a failed attempt whose failure the engine has not been
  // notified of yet.
  std::map<AttemptId, SlotId> connections_;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_ATTEMPT_RUNNER_HPP_
