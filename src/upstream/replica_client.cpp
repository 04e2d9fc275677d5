#include "upstream/replica_client.hpp"

#include <utility>

namespace dispatcher::upstream {

ReplicaClient::ReplicaClient(boost::asio::io_context& io, engine::TimerQueue& timers,
                             const engine::Clock& clock, const engine::Log& log, const Options& options)
    : pool_(io, timers, clock, options),
      exchanges_(pool_, timers, clock, log),
      reservations_(pool_, exchanges_, timers, clock, log, options),
      attempts_(pool_, exchanges_, reservations_, timers, clock),
      handover_(pool_, exchanges_, attempts_) {}

void ReplicaClient::attach(engine::Engine& engine) {
  attempts_.attach(engine);
  reservations_.attach(engine);
}

void ReplicaClient::update_endpoints(const std::vector<EndpointAddress>& addresses, ListScope scope) {
  pool_.update_endpoints(addresses, scope);
}

void ReplicaClient::set_administrative_state(const EndpointId& endpoint, routing::AdministrativeState state) {
  pool_.set_administrative_state(endpoint, state);
  if (state == routing::AdministrativeState::kInService) return;
  for (const SlotId id : pool_.ids()) {
    const PooledConnection* connection = pool_.find(id);  // a failing exchange may end others
    if (connection == nullptr || connection->endpoint != endpoint || connection->is_connected) continue;
    exchanges_.fail_exchange(id, routing::AttemptStatus::kConnectFailed,
                             engine::AttemptEndReason::kEndpointChanged, FailureAttribution::kNone);
  }
}

void ReplicaClient::apply_options(const Options& options) {
  reservations_.apply_options(options);
  pool_.apply_options(options);
}

void ReplicaClient::adopt_stream(AttemptId attempt, net::UniqueFd socket, const StreamState& state) {
  handover_.adopt_stream(attempt, std::move(socket), state);
}

void ReplicaClient::start_attempt(AttemptId attempt, const EndpointId& endpoint,
                                  std::shared_ptr<const engine::UpstreamRequest> message, Time deadline,
                                  Time connect_by) {
  attempts_.start({attempt, endpoint, std::move(message), deadline, connect_by});
}

bool ReplicaClient::cancel_attempt(AttemptId attempt) { return attempts_.cancel(attempt); }

void ReplicaClient::pause_reading(AttemptId attempt) { attempts_.pause(attempt); }

void ReplicaClient::resume_reading(AttemptId attempt) { attempts_.resume(attempt); }

void ReplicaClient::reserve_slot(AttemptId attempt, const EndpointId& endpoint, const RequestId& id) {
  reservations_.reserve(attempt, endpoint, id);
}

bool ReplicaClient::is_endpoint_silent(AttemptId attempt) { return attempts_.is_endpoint_silent(attempt); }

void ReplicaClient::release_reservation(const RequestId& id, const engine::LateReads& late_reads) {
  reservations_.release(id, late_reads);
}

void ReplicaClient::cancel_release(const RequestId& id) { reservations_.cancel_release(id); }

bool ReplicaClient::has_connection(AttemptId attempt) { return attempts_.is_connected(attempt); }

}  // namespace dispatcher::upstream
