/// The requests of the engine, found by handle or by id.
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

/// An attempt that is not over, with its request; both null where there is none.
struct ActiveAttempt {
  ActiveRequest* request = nullptr;
  Attempt* attempt = nullptr;
  explicit operator bool() const { return attempt != nullptr; }
};

/// Owns the requests, and their removal. Part of the Engine; used on the event loop thread only. Pointers to
/// a request hold until it is removed: look it up again after any call that may end it.
class RequestTable {
 public:
  explicit RequestTable(EngineContext& context) : context_(context) {}

  /// Adds a request, unanswered. The id should not be in use; if it is, the newer request has it.
  SlotId add(const RequestId& id);
  /// Null if there is no such request (any more).
  [[nodiscard]] ActiveRequest* find(SlotId slot) { return requests_.find(slot); }
  /// An empty handle if there is no such request.
  [[nodiscard]] SlotId slot_of(const RequestId& id) const;
  [[nodiscard]] ActiveAttempt find_active(AttemptId id);

  /// Nothing is owed to the client any more.
  void mark_answered(ActiveRequest& request);
  /// Removes a request that is answered, has no active attempt and no release ahead.
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
