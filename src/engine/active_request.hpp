/// A request in the engine, from its arrival until its client is answered and its last attempt has ended.
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
  bool at_reader = false;  ///< the endpoint is a reader, which may hold prompt state for the request
  TimerId deadline_timer;
};

/// The state of one request. Plain data, owned by the RequestTable; used on the event loop thread only.
struct ActiveRequest {
  ResponseSink* sink = nullptr;
  SlotId client;  ///< the sink's handle of the client
  RequestId id;
  std::string request_class;
  Time first_token_objective{};
  SettingsSnapshot settings;                       ///< the settings when the request arrived
  std::shared_ptr<const UpstreamRequest> message;  ///< null once a stream has started: no attempt follows
  Time deadline{};
  std::vector<Attempt> attempts;  ///< indexed by attempt number
  int attempts_spent = 0;  ///< counted against Settings::max_attempts; see Settings::free_connect_failures
  std::optional<int> streaming_attempt;  ///< number of the attempt whose response is streamed to the client
  bool is_answered = false;              ///< the client has its final answer, or needs none any more
  bool is_paused = false;                ///< the response is not read, because the client's buffer is full
  Time silent_since{};                   ///< of a stream: since when its next event is awaited
  bool has_timed_out = false;            ///< the attempt that ended last timed out
  ReservationTracker reservations;
  TimerId overdue_timer, idle_timer, release_timer;

  [[nodiscard]] Attempt& attempt(int number) { return attempts.at(static_cast<std::size_t>(number)); }
  [[nodiscard]] const Attempt& attempt(int number) const {
    return attempts.at(static_cast<std::size_t>(number));
  }
  [[nodiscard]] int attempt_count() const { return static_cast<int>(attempts.size()); }
  /// Returns the event that reports the end of an attempt at `now` to the router. Cached tokens, evidence and
  /// load report are left empty.
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
