// The attempts under way: which connection carries each, and what the engine is notified of.
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

// What an attempt is to do, and by when.
struct AttemptParameters {
  AttemptId attempt;
  EndpointId endpoint;
  std::shared_ptr<const engine::UpstreamRequest> request;
  Time deadline{};    // of the attempt; the time left until then is sent to the replica
  Time connect_by{};  // when a new connection must be up; zero: within the usual time
};

// Starts, pauses and ends attempts. Owned by ReplicaClient; runs on the event loop's thread, and calls the
// engine only from events and timers, except Engine::is_still_needed().
class AttemptRunner : public ExchangeHandler {
 public:
  AttemptRunner(ConnectionPool& pool, ExchangeRunner& exchanges, ReservationClient& reservations,
                engine::TimerQueue& timers, engine::Clock clock);
  // Must be called before the first attempt; `engine` must outlive the last event.
  void attach(engine::Engine& engine) { engine_ = &engine; }

  void start(const AttemptParameters& parameters);
  // Ends an attempt without notifying the engine. False: the replica can't have received the complete
  // request.
  [[nodiscard]] bool abandon(AttemptId attempt);
  // Stops reading an attempt's response until resume().
  void pause(AttemptId attempt);
  void resume(AttemptId attempt);
  [[nodiscard]] bool is_connected(AttemptId attempt);
  // Whether nothing has come from the attempt's endpoint since its request was written.
  [[nodiscard]] bool is_endpoint_silent(AttemptId attempt);

  // For StreamHandover: an attempt's connection, if it has one; and its entry or removal.
  [[nodiscard]] PooledConnection* connection_of(AttemptId attempt);
  void add(AttemptId attempt, SlotId connection) { connections_[attempt] = connection; }
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
  // An empty id: the attempt has failed, and the engine has not been notified yet.
  std::map<AttemptId, SlotId> connections_;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_ATTEMPT_RUNNER_HPP_
