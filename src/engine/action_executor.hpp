/// Executes the router's actions.
#ifndef DISPATCHER_ENGINE_ACTION_EXECUTOR_HPP_
#define DISPATCHER_ENGINE_ACTION_EXECUTOR_HPP_

#include <functional>
#include <string>

#include "engine/attempt_manager.hpp"
#include "engine/engine_context.hpp"
#include "engine/request_table.hpp"
#include "engine/reservation_cleanup.hpp"
#include "engine/router_runner.hpp"

namespace dispatcher::engine {

/// Maps each routing::Action to calls of the engine's parts, the sinks and the upstream client. Part of the
/// Engine; used on the event loop thread only.
class ActionExecutor {
 public:
  ActionExecutor(EngineContext& context, RequestTable& requests, RouterRunner& router,
                 AttemptManager& attempts, ReservationCleanup& cleanup)
      : context_(context), requests_(requests), router_(router), attempts_(attempts), cleanup_(cleanup) {}

  /// Sets the callback that is called when the router needs the complete endpoint list again.
  void set_subscribe_callback(std::function<void()> callback) { subscribe_ = std::move(callback); }

  /// Executes an action. An action other than ReleaseReservation has no effect if its request has ended.
  void execute(const routing::Action& action);

 private:
  void execute_action(const routing::StartAttempt& action) { attempts_.start(action); }
  void execute_action(const routing::CancelAttempt& action) { attempts_.cancel(action); }
  void execute_action(const routing::Reject& action);
  void execute_action(const routing::Fail& action);
  void execute_action(const routing::MigrateStream& action);
  void execute_action(const routing::ReserveSlot& action);
  void execute_action(const routing::ReleaseReservation& action);
  void execute_action(const routing::SetTimer& action);
  void execute_action(const routing::Subscribe& action);
  void execute_action(const routing::LogMessage& action) { context_.log(action.text); }
  /// Marks a request as answered and notifies the request observer if no stream has started. Returns null,
  /// and does nothing, if the request does not exist or is already answered.
  [[nodiscard]] ActiveRequest* answer(SlotId slot, NotServedReason reason);

  EngineContext& context_;
  RequestTable& requests_;
  RouterRunner& router_;
  AttemptManager& attempts_;
  ReservationCleanup& cleanup_;
  std::function<void()> subscribe_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_ACTION_EXECUTOR_HPP_
