/// The request log: one line for each event of a request, for diagnosing single requests afterwards and for
/// statistics over a fleet. Off unless the command line enables it, because it writes several lines per
/// attempt.
#ifndef DISPATCHER_ENGINE_REQUEST_LOG_HPP_
#define DISPATCHER_ENGINE_REQUEST_LOG_HPP_

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "engine/interfaces.hpp"
#include "routing/router.hpp"

namespace dispatcher::engine {

/// Why a reservation is released.
enum class ReleaseReason {
  kRouter,        ///< the router releases the prompt state that it knows of
  kPossiblyLeft,  ///< an attempt ended in a way that may have left a reservation
};

/// Formats the lines. Each consists of `request ID`, the name of the event and key=value fields; times are in
/// milliseconds. Tools read the keys and values, so these are part of the interface.
class RequestLog {
 public:
  using Sink = std::function<void(std::string_view)>;
  RequestLog() = default;  ///< a disabled log
  explicit RequestLog(Sink sink) : sink_(std::move(sink)) {}

  void log_received(const routing::Request& request, routing::Time now) const;
  /// `time_left` is the time until the attempt's deadline.
  void log_attempt_started(const routing::RequestId& id, const routing::EndpointId& endpoint, int attempt,
                           routing::Duration time_left) const;
  /// Logs that the request was handed to the connection, which does not mean that it arrived.
  void log_attempt_written(const routing::RequestId& id, const routing::EndpointId& endpoint, int attempt,
                           ConnectionUse use) const;
  void log_first_token(const routing::RequestId& id, const routing::EndpointId& endpoint, int attempt,
                       routing::Duration elapsed) const;
  void log_attempt_completed(const routing::AttemptCompleted& outcome, AttemptEndReason reason) const;
  /// Logs a final answer that is not an endpoint's response.
  void log_rejected(const routing::RequestId& id, routing::GiveUpReason reason) const;
  void log_failed(const routing::RequestId& id, routing::GiveUpReason reason) const;
  /// `how` is one word for the end of a request that was neither served nor rejected or failed by the router.
  void log_answered(const routing::RequestId& id, std::string_view how) const;
  void log_release_requested(const routing::RequestId& id, ReleaseReason reason) const;
  void log_release_confirmed(const routing::RequestId& id, const ReleaseConfirmation& confirmation) const;

 private:
  void write(const routing::RequestId& id, const std::string& text) const {
    sink_("request " + id.value() + " " + text);
  }

  Sink sink_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_REQUEST_LOG_HPP_
