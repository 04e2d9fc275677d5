// Makes the calls to endpoints that reserve a slot for a request or release what is reserved for it.
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

// Makes the calls that create and release reservations. ReservationReleaser decides which endpoints a release
// is sent to, and how often. Unlike attempts, releases are idempotent and are sent to further endpoints
// without a decision by the router. Owned by ReplicaClient; runs on the event loop's thread, and calls the
// engine only from events.
class ReservationClient : private ExchangeHandler, private ReservationReleaser::ReleaseTransport {
 public:
  ReservationClient(ConnectionPool& pool, ExchangeRunner& exchanges, engine::TimerQueue& timers,
                    const engine::Clock& clock, const engine::Log& log, const Options& options);
  // Sets the engine to notify. Must be called before the first reservation. Without an engine, the results of
  // releases are dropped.
  void attach(engine::Engine& engine) { engine_ = &engine; }
  void apply_options(const Options& options);

  // Requests a slot for the request from an endpoint, whose answer is passed to
  // Engine::on_reservation_result().
  void reserve(AttemptId attempt, const EndpointId& endpoint, const RequestId& request_id);
  // See engine::UpstreamClient::release_reservation().
  void release(const RequestId& request_id, const engine::LateReads& late_reads);
  // Ends a release and its active calls, which must not release what an attempt written now reserves.
  void cancel_release(const RequestId& request_id) { releaser_.cancel(request_id); }

  // Returns the number of releases that have not ended.
  [[nodiscard]] std::size_t pending_releases() const { return releaser_.pending(); }
  // Returns the number of those releases that the end of the process must wait for.
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
