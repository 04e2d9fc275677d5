#include "upstream/reservation_client.hpp"

#include <algorithm>

#include "upstream/protocol.hpp"

namespace dispatcher::upstream {

namespace {

// The maximum of open connections divided by this is the maximum of active release calls, so that a burst of
// releases leaves capacity for attempts.
constexpr std::size_t kReleaseConnectionsDivisor = 4;

ReservationReleaser::Limits release_limits(const Options& options) {
  return {options.release_round_interval, options.release_repeat_interval,
          std::max<std::size_t>(1, options.max_connections / kReleaseConnectionsDivisor)};
}

}  // namespace

ReservationClient::ReservationClient(ConnectionPool& pool, ExchangeRunner& exchanges,
                                     engine::TimerQueue& timers, const engine::Clock& clock,
                                     const engine::Log& log, const Options& options)
    : pool_(pool),
      exchanges_(exchanges),
      timers_(timers),
      clock_(clock),
      round_interval_(options.release_round_interval),
      releaser_(*this, timers, clock, log, release_limits(options)) {}

void ReservationClient::apply_options(const Options& options) {
  round_interval_ = options.release_round_interval;
  releaser_.set_limits(release_limits(options));
}

void ReservationClient::reserve(AttemptId attempt, const EndpointId& endpoint, const RequestId& request_id) {
  const SlotId id = pool_.acquire(endpoint, pool_.connect_timeout(), ExchangeKind::kReservation);
  if (!id) return;
  exchanges_.start(id, *this, {ExchangeKind::kReservation, attempt, request_id});
}

void ReservationClient::release(const RequestId& request_id, const engine::LateReads& late_reads) {
  // A reservation call that still waits for its connection would be sent after the release.
  for (const SlotId id : pool_.ids()) {
    const PooledConnection& connection = *pool_.find(id);
    const ExchangeRequest& request = connection.exchange.request;
    const bool is_unsent = request.kind == ExchangeKind::kReservation && !connection.is_connected;
    if (is_unsent && request.request_id == request_id) pool_.close(id, CloseReason::kReleaseEnded);
  }
  releaser_.release(request_id, late_reads);
}

SlotId ReservationClient::start_release_call(const EndpointId& endpoint, const RequestId& request_id) {
  const SlotId id = pool_.acquire(endpoint, round_interval_, ExchangeKind::kRelease);
  if (!id) return {};
  exchanges_.start(id, *this, {ExchangeKind::kRelease, {}, request_id});
  timers_.drop(pool_.find(id)->timer);  // its response counts even after further endpoints were called
  return id;
}

std::vector<ReleaseCandidate> ReservationClient::release_candidates() {
  std::vector<ReleaseCandidate> candidates;
  const Time now = clock_();
  for (const auto& [name, endpoint] : pool_.endpoints()) {
    if (!endpoint.is_ready) continue;
    candidates.push_back({name, endpoint.zone, endpoint.cell, pool_.has_reusable_connection(endpoint),
                          endpoint.is_unresponsive(now, round_interval_), endpoint.last_received});
  }
  return candidates;
}

std::optional<std::string> ReservationClient::compose_request(const ExchangeRequest& request) {
  const bool is_release = request.kind == ExchangeKind::kRelease;
  return is_release ? release_text(request.request_id) : reserve_text(request.request_id);
}

void ReservationClient::on_exchange_ended(const ExchangeOutcome& outcome) {
  if (outcome.kind == ExchangeKind::kReservation) on_reservation_ended(outcome);
  if (outcome.kind == ExchangeKind::kRelease) on_release_ended(outcome);
}

void ReservationClient::on_reservation_ended(const ExchangeOutcome& outcome) {
  using engine::ReservationOutcome;
  const bool is_reserved = outcome.http_status == kHttpOk;
  const bool is_denied = outcome.http_status == kHttpConflict;
  if (!is_reserved && !is_denied) return;
  engine_->on_reservation_result(outcome.attempt, outcome.endpoint,
                                 is_reserved ? ReservationOutcome::kReserved : ReservationOutcome::kDenied);
}

void ReservationClient::on_release_ended(const ExchangeOutcome& outcome) {
  if (!outcome.http_status) return releaser_.on_call_failed(outcome.request_id, outcome.connection);
  const ReservationReleaser::Progress progress =
      releaser_.on_call_answered(outcome.request_id, outcome.connection, outcome.endpoint);
  if (engine_ == nullptr) return;
  engine_->on_reservation_released(outcome.request_id, {outcome.endpoint, progress.calls, progress.elapsed});
}

}  // namespace dispatcher::upstream
