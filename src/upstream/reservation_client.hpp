// The calls to replicas that reserve a slot for a request, or release what is reserved for it.
#ifndef DISPATCHER_UPSTREAM_RESERVATION_CLIENT_HPP_
#define DISPATCHER_UPSTREAM_RESERVATION_CLIENT_HPP_

#include <optional>
#include <string>
#include <vector>

#include "engine/engine.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/exchange_runner.hpp"
#include "upstream/options.hpp"
#include "upstream/reservation_releaser.hpp"

namespace dispatcher::upstream {

// Makes the calls about reservations. ReservationReleaser decides which replicas a release is sent to, and
// how often; unlike attempts, releases are idempotent and go to further replicas by themselves. Owned by
// ReplicaClient; runs on the event loop's thread, and calls the engine only from events.
class ReservationClient : private ExchangeHandler, private ReservationReleaser::ReleaseTransport {
 public:
  ReservationClient(ConnectionPool& pool, ExchangeRunner& exchanges, engine::TimerQueue& timers,
                    const engine::Clock& clock, const engine::Log& log, const Options& options);
  // Without an engine, results of calls are dropped.
  void attach(engine::Engine& engine) { engine_ = &engine; }
  void apply_options(const Options& options);

  // Requests a slot for the request from an endpoint; Engine::on_reservation_result() is called with its
  // answer.
  void reserve(AttemptId attempt, const EndpointId& endpoint, const RequestId& request_id);
  // As engine::UpstreamClient::release_reservation().
  void release(const RequestId& request_id, const engine::LateReads& late_reads);
  // Ends the calls of a release under way: they must not release what an attempt written now reserves.
  void cancel_release(const RequestId& request_id) { releaser_.cancel(request_id); }

  // Releases that have not ended.
  [[nodiscard]] std::size_t pending_releases() const { return releaser_.pending(); }
  // Those of them that the process's end must wait for.
  [[nodiscard]] std::size_t releases_blocking_shutdown() const { return releaser_.blocking_shutdown(); }

 private:
  [[nodiscard]] std::optional<std::string> compose_request(const ExchangeRequest& request) override;
  void on_exchange_ended(const ExchangeOutcome& outcome) override;
  void on_reservation_ended(const ExchangeOutcome& outcome);
  void on_release_ended(const ExchangeOutcome& outcome);

  [[nodiscard]] SlotId start_release_call(const EndpointId& endpoint, const RequestId& request_id) override;
  void close_release_call(SlotId call) override { pool_.close(call, CloseReason::kReleaseEnded); }
  [[nodiscard]] std::vector<ReleaseCandidate> release_candidates() override;

  ConnectionPool& pool_;
  ExchangeRunner& exchanges_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  Duration round_interval_;
  ReservationReleaser releaser_;
  engine::Engine* engine_ = nullptr;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_RESERVATION_CLIENT_HPP_
