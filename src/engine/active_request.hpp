/// A request in the engine, from its arrival until its client is answered and the last of its attempts is
/// over.
#ifndef DISPATCHER_ENGINE_ACTIVE_REQUEST_HPP_
#define DISPATCHER_ENGINE_ACTIVE_REQUEST_HPP_

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "engine/interfaces.hpp"
#include "engine/reservation_tracker.hpp"
#include "engine/timer_queue.hpp"

namespace dispatcher::engine {

/// One attempt of a request at one endpoint.
struct Attempt {
  EndpointId endpoint;
  Time started{};
  bool is_active = true;
  bool at_reader = false;  ///< the endpoint is a reader, which may hold a state for the request
  TimerId deadline_timer;
};

/// Plain data, owned by the RequestTable; used on the event loop thread only.
struct ActiveRequest {
  ResponseSink* sink = nullptr;
  SlotId client;  ///< the sink's handle
  RequestId id;
  std::string request_class;
  Time first_token_objective{};
  SettingsSnapshot settings;                       ///< as they were when the request arrived
  std::shared_ptr<const UpstreamRequest> message;  ///< until the stream starts: no attempt is made after that
  Time deadline{};
  std::vector<Attempt> attempts;         ///< by number
  int attempts_spent = 0;                ///< of Settings::max_attempts; see Settings::free_connect_failures
  std::optional<int> streaming_attempt;  ///< the attempt whose response is the client's
  bool is_answered = false;              ///< nothing more is owed to the client
  bool is_paused = false;                ///< the client's buffer is full
  bool has_timed_out = false;            ///< its last attempt to end did
  ReservationTracker reservations;
  TimerId overdue_timer, idle_timer, release_timer;

  [[nodiscard]] Attempt& attempt(int number) { return attempts.at(static_cast<std::size_t>(number)); }
  [[nodiscard]] const Attempt& attempt(int number) const {
    return attempts.at(static_cast<std::size_t>(number));
  }
  [[nodiscard]] int attempt_count() const { return static_cast<int>(attempts.size()); }
  /// The end of an attempt at `now`, as it is reported to the router; tokens, evidence and load are empty.
  [[nodiscard]] routing::AttemptCompleted completion(int number, AttemptStatus status, Time now) const {
    const Attempt& ended = attempt(number);
    routing::AttemptCompleted completed;
    completed.request = id;
    completed.endpoint = ended.endpoint;
    completed.attempt = number;
    completed.status = status;
    completed.elapsed = now - ended.started;
    completed.finished = is_answered;
    return completed;
  }
  [[nodiscard]] bool has_active_attempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& candidate) { return candidate.is_active; });
  }
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_ACTIVE_REQUEST_HPP_
