// The client of the endpoints: implements the engine's UpstreamClient over pooled HTTP/1.1 connections.
#ifndef DISPATCHER_UPSTREAM_REPLICA_CLIENT_HPP_
#define DISPATCHER_UPSTREAM_REPLICA_CLIENT_HPP_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "engine/engine.hpp"
#include "upstream/attempt_runner.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/exchange_runner.hpp"
#include "upstream/options.hpp"
#include "upstream/reservation_client.hpp"
#include "upstream/stream_handover.hpp"

namespace dispatcher::upstream {

// Composes the connection pool, attempts, reservation calls and stream handover. Owned by the daemon's
// Dispatcher; runs on the event loop's thread, and must outlive the loop's last event. Calls the engine only
// from events and timers, except for Engine::is_still_needed() and Engine::on_attempt_written().
class ReplicaClient : public engine::UpstreamClient {
 public:
  ReplicaClient(boost::asio::io_context& io, engine::TimerQueue& timers, const engine::Clock& clock,
                const engine::Log& log, const Options& options);
  ReplicaClient(const ReplicaClient&) = delete;
  ReplicaClient& operator=(const ReplicaClient&) = delete;
  // Sets the engine to notify. Must be called before the first attempt or reservation.
  void attach(engine::Engine& engine);

  // See ConnectionPool::update_endpoints().
  void update_endpoints(const std::vector<EndpointAddress>& addresses, ListScope scope);
  // Sets the state that operators give an endpoint. No exchange sends its first byte to a drained endpoint:
  // exchanges that wait for a connection to it fail as not sent, and running exchanges continue.
  void set_administrative_state(const EndpointId& endpoint, routing::AdministrativeState state);
  // Sets the log of the connections that are closed from now on.
  void set_connection_log(ConnectionLog log) { pool_.set_log(std::move(log)); }
  // Applies new limits and times to what is opened from now on.
  void apply_options(const Options& options);

  // See StreamHandover.
  [[nodiscard]] bool suspend_stream(AttemptId attempt) { return handover_.suspend_stream(attempt); }
  void resume_stream(AttemptId attempt) { handover_.resume_stream(attempt); }
  [[nodiscard]] SuspendedStream suspended_stream(AttemptId attempt) const {
    return handover_.suspended_stream(attempt);
  }
  void detach_stream(AttemptId attempt) { handover_.detach_stream(attempt); }
  void adopt_stream(AttemptId attempt, net::UniqueFd socket, const StreamState& state);

  // Closes the connection that has been idle for longest, for use when file descriptors run short. Returns
  // false if none is idle.
  bool evict_idle() { return pool_.evict_idle(); }
  [[nodiscard]] std::size_t open_connections() const { return pool_.size(); }
  [[nodiscard]] std::size_t known_endpoints() const { return pool_.endpoints().size(); }
  // See ReservationClient.
  [[nodiscard]] std::size_t pending_releases() const { return reservations_.pending_releases(); }
  [[nodiscard]] std::size_t releases_blocking_shutdown() const {
    return reservations_.releases_blocking_shutdown();
  }

  void start_attempt(AttemptId attempt, const EndpointId& endpoint,
                     std::shared_ptr<const engine::UpstreamRequest> message, Time deadline,
                     Time connect_by) override;
  bool cancel_attempt(AttemptId attempt) override;
  void pause_reading(AttemptId attempt) override;
  void resume_reading(AttemptId attempt) override;
  void reserve_slot(AttemptId attempt, const EndpointId& endpoint, const RequestId& id) override;
  bool is_endpoint_silent(AttemptId attempt) override;
  void release_reservation(const RequestId& id, const engine::LateReads& late_reads) override;
  void cancel_release(const RequestId& id) override;
  bool has_unread_response(AttemptId attempt) override { return attempts_.has_unread_response(attempt); }
  bool has_connection(AttemptId attempt) override;

 private:
  ConnectionPool pool_;
  ExchangeRunner exchanges_;
  ReservationClient reservations_;
  AttemptRunner attempts_;
  StreamHandover handover_;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_REPLICA_CLIENT_HPP_
