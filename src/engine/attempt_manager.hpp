/// The life cycle of an attempt: its start, the ways it may end, and what its end means for its request.
#ifndef DISPATCHER_ENGINE_ATTEMPT_MANAGER_HPP_
#define DISPATCHER_ENGINE_ATTEMPT_MANAGER_HPP_

#include "engine/endpoint_roles.hpp"
#include "engine/engine_context.hpp"
#include "engine/request_table.hpp"
#include "engine/reservation_cleanup.hpp"
#include "engine/router_runner.hpp"

namespace dispatcher::engine {

/// Part of the Engine; used on the event loop thread only.
class AttemptManager {
 public:
  AttemptManager(EngineContext& context, RequestTable& requests, RouterRunner& router,
                 ReservationCleanup& cleanup, const EndpointRoles& endpoints)
      : context_(context), requests_(requests), router_(router), cleanup_(cleanup), endpoints_(endpoints) {}

  /// Starts an attempt that the router decided on. If its request is answered, out of attempts or past its
  /// deadline by now, the attempt is reported to the router as never sent.
  void start(const routing::StartAttempt& action);
  /// Cancels an attempt for the router, unless its response is the client's.
  void cancel(const routing::CancelAttempt& action);
  /// Ends an active attempt from this side, e.g. at its deadline or because its response is not needed any
  /// more.
  void terminate(AttemptId id, AttemptStatus status, AttemptEndReason reason);
  /// Ends the attempts that still wait for a connection. They would be written after their client has
  /// disconnected, also where the settings don't let the router cancel anything.
  void terminate_unconnected(SlotId slot);
  /// Handles the end of an active attempt: every attempt that was started ends here, or is released to
  /// another process.
  void complete(AttemptId id, const AttemptResult& result);

 private:
  [[nodiscard]] static bool may_start(const ActiveRequest& request, Time deadline, Time now);
  /// Ends the client's stream if the attempt is the streaming one. Returns the status that counts.
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
