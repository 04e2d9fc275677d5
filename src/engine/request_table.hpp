/// The table of the engine's requests, with lookup by handle and by id.
#ifndef DISPATCHER_ENGINE_REQUEST_TABLE_HPP_
#define DISPATCHER_ENGINE_REQUEST_TABLE_HPP_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine/active_request.hpp"
#include "engine/engine_context.hpp"
#include "net/slot_table.hpp"

namespace dispatcher::engine {

/// An attempt in flight and its request. Both pointers are null if there is none.
struct ActiveAttempt {
  ActiveRequest* request = nullptr;
  Attempt* attempt = nullptr;
  explicit operator bool() const { return attempt != nullptr; }
};

/// Owns the requests and removes the completed ones. Part of the Engine; used on the event loop thread only.
/// Pointers to a request stay valid until it is removed: look it up again after any call that may end it.
class RequestTable {
 public:
  explicit RequestTable(EngineContext& context) : context_(context) {}

  /// Adds an unanswered request. The id should not be in use. If it is, lookups by id return the new request.
  SlotId add(const RequestId& id);
  /// Returns null if the request does not exist, or no longer exists.
  [[nodiscard]] ActiveRequest* find(SlotId slot) { return requests_.find(slot); }
  /// Returns a null handle if no request has this id.
  [[nodiscard]] SlotId slot_of(const RequestId& id) const;
  [[nodiscard]] ActiveAttempt find_active(AttemptId id);

  /// Marks a request whose client needs no further answer, and cancels its overdue and idle timers.
  void mark_answered(ActiveRequest& request);
  /// Removes a request if it is answered and has neither an active attempt nor a scheduled release.
  void remove_if_complete(SlotId slot);

  [[nodiscard]] bool contains(const RequestId& id) const { return slots_by_id_.contains(id); }
  [[nodiscard]] std::vector<RequestId> ids() const;
  [[nodiscard]] std::vector<SlotId> slots() const { return requests_.ids(); }
  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  [[nodiscard]] std::size_t unanswered_count() const { return unanswered_count_; }

 private:
  EngineContext& context_;
  net::SlotTable<ActiveRequest> requests_;
  std::unordered_map<RequestId, SlotId> slots_by_id_;
  std::size_t unanswered_count_ = 0;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_REQUEST_TABLE_HPP_
