#include "routing/open_requests.hpp"

#include <utility>

namespace dispatcher::routing {

RequestState& OpenRequests::insert(RequestState state) {
  const RequestId id = state.request.id;
  return requests_.emplace(id, std::move(state)).first->second;
}

RequestState* OpenRequests::find(const RequestId& id) {
  const auto it = requests_.find(id);
  return it != requests_.end() ? &it->second : nullptr;
}

RequestState* OpenRequests::find_in_flight(const RequestId& id, int attempt) {
  RequestState* state = find(id);
  if (state == nullptr || !state->is_in_flight || state->current_attempt() != attempt) return nullptr;
  return state;
}

void OpenRequests::erase_if_settled(const RequestState& state) {
  if (state.is_ended && !state.is_in_flight) requests_.erase(state.request.id);
}

void OpenRequests::count_later_send_answered(const Endpoint& endpoint, const RequestState& answered) {
  for (auto& [id, other] : requests_) {
    const bool is_waiting = other.is_in_flight && other.phase != Phase::kStreaming &&
                            other.endpoint == endpoint.endpoint &&
                            (answered.fetches_from_other_cell || !other.fetches_from_other_cell);
    if (is_waiting && other.sent_at < answered.sent_at) ++other.later_sends_answered;
  }
}

}  // namespace dispatcher::routing
