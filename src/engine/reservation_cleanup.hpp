/// Releases what the attempts of a request may have left at replicas.
#ifndef DISPATCHER_ENGINE_RESERVATION_CLEANUP_HPP_
#define DISPATCHER_ENGINE_RESERVATION_CLEANUP_HPP_

#include <string>

#include "engine/engine_context.hpp"
#include "engine/request_table.hpp"

namespace dispatcher::engine {

/// Part of the Engine; used on the event loop thread only.
class ReservationCleanup {
 public:
  /// What becomes of a release that is scheduled already.
  enum class ScheduledRelease { kKeep, kPostpone };

  ReservationCleanup(EngineContext& context, RequestTable& requests)
      : context_(context), requests_(requests) {}

  /// Schedules a release if something may be held. While an attempt with a connection is active the release
  /// comes later, as it would take that one's state, but within the reservation limit: the attempt may never
  /// arrive. Attempts whose connections fail to be established postpone nothing.
  void schedule_if_needed(SlotId slot, ScheduledRelease scheduled);
  /// The router releases what it knows to be held for a request.
  void release_for_router(const RequestId& id);
  /// How long after the end of an attempt its reservations are released.
  [[nodiscard]] static Duration release_delay(const ActiveRequest& request);

 private:
  [[nodiscard]] bool has_connected_attempt(SlotId slot);
  void schedule_at(SlotId slot, Time release_at);
  void on_timer(SlotId slot);
  void release_when_due(SlotId slot, ActiveRequest& request);
  void check_again_if_in_flight(SlotId slot, const ActiveRequest& request);

  EngineContext& context_;
  RequestTable& requests_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_RESERVATION_CLEANUP_HPP_
