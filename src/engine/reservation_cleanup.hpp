/// Releases what the attempts of a request may have left at endpoints.
#ifndef DISPATCHER_ENGINE_RESERVATION_CLEANUP_HPP_
#define DISPATCHER_ENGINE_RESERVATION_CLEANUP_HPP_

#include <string>

#include "engine/engine_context.hpp"
#include "engine/request_table.hpp"

namespace dispatcher::engine {

/// Schedules and requests the release of reservations. Part of the Engine; used on the event loop thread
/// only.
class ReservationCleanup {
 public:
  /// What to do with a release that is already scheduled: kKeep keeps it unless the new time is earlier,
  /// kPostpone always replaces it.
  enum class ScheduledRelease { kKeep, kPostpone };

  ReservationCleanup(EngineContext& context, RequestTable& requests)
      : context_(context), requests_(requests) {}

  /// Schedules a release if endpoints may hold something for the request. While an attempt with a connection
  /// is active, the release is delayed, because it would remove that attempt's state. It still takes place
  /// within the reservation limit, because that attempt may never arrive. Attempts whose connections can't be
  /// established delay nothing.
  void schedule_if_needed(SlotId slot, ScheduledRelease scheduled);
  /// Executes the router's release of what it knows to be held for a request.
  void release_for_router(const RequestId& id);
  /// Returns the time from the end of an attempt to the release of its reservations, if no other attempt has
  /// a connection.
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
