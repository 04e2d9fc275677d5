/// The life cycle of an attempt: its start, the ways in which it may end, and the consequences for its
/// request.
#ifndef DISPATCHER_ENGINE_ATTEMPT_MANAGER_HPP_
#define DISPATCHER_ENGINE_ATTEMPT_MANAGER_HPP_

#include "engine/endpoint_roles.hpp"
#include "engine/engine_context.hpp"
#include "engine/request_table.hpp"
#include "engine/reservation_cleanup.hpp"
#include "engine/router_runner.hpp"

namespace dispatcher::engine {

/// Starts and ends attempts. Part of the Engine; used on the event loop thread only.
class AttemptManager {
 public:
  AttemptManager(EngineContext& context, RequestTable& requests, RouterRunner& router,
                 ReservationCleanup& cleanup, const EndpointRoles& endpoints)
      : context_(context), requests_(requests), router_(router), cleanup_(cleanup), endpoints_(endpoints) {}

  /// Starts an attempt that the router decided on. If the request is already answered, streaming, out of
  /// attempts or past its deadline, the attempt is reported to the router as never sent.
  void start(const routing::StartAttempt& action);
  /// Cancels an attempt for the router, unless its response is being streamed to the client.
  void cancel(const routing::CancelAttempt& action);
  /// Ends an active attempt on the dispatcher's initiative, e.g. at its deadline or because its response is
  /// no longer needed. Does nothing if the attempt is not active.
  void terminate(AttemptId id, AttemptStatus status, AttemptEndReason reason);
  /// Ends the attempts that still wait for a connection, so that none of them is written after its client has
  /// disconnected. This is done even if the settings don't let the router cancel attempts.
  void terminate_unconnected(SlotId slot);
  /// Handles the end of an active attempt. Every started attempt ends here, unless its stream is handed over
  /// to another process.
  void complete(AttemptId id, const AttemptResult& result);

 private:
  [[nodiscard]] static bool may_start(const ActiveRequest& request, Time deadline, Time now);
  /// Ends the client's stream if the attempt is the streaming one. Returns the status to report for the
  /// attempt: kError for a complete response without any event, otherwise `status`.
  [[nodiscard]] AttemptStatus finish_stream(ActiveRequest& request, AttemptId id, AttemptStatus status);
  void fail_invalid_request(ActiveRequest& request);

  EngineContext& context_;
  RequestTable& requests_;
  RouterRunner& router_;
  ReservationCleanup& cleanup_;
  const EndpointRoles& endpoints_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_ATTEMPT_MANAGER_HPP_
