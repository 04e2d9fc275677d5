// The table of open requests: those that have no final answer yet or still have an attempt in flight.
#ifndef DISPATCHER_ROUTING_OPEN_REQUESTS_HPP_
#define DISPATCHER_ROUTING_OPEN_REQUESTS_HPP_

#include <cstddef>

#include "routing/endpoint.hpp"
#include "routing/request_state.hpp"

namespace dispatcher::routing {

// Owned by one Router and used on its thread. References to a request stay valid until it is erased.
class OpenRequests {
 public:
  // Adds a request, whose id must not be in the table yet. Returns the stored state.
  RequestState& insert(RequestState state);
  // Returns the request, or null if no such request is open.
  [[nodiscard]] RequestState* find(const RequestId& id);
  // Returns the request if this attempt of it is in flight, or else null.
  [[nodiscard]] RequestState* find_in_flight(const RequestId& id, int attempt);
  // Erases the request if it needs no answer any more and has no attempt in flight. `state` then dangles.
  void erase_if_settled(const RequestState& state);

  // Counts, for each attempt that still waits at the endpoint and was sent before the answered one, that a
  // later one was answered first. Endpoints answer roughly in order, so such an attempt may be lost.
  void count_later_send_answered(const Endpoint& endpoint, const RequestState& answered);

  // Calls `visit(state)` for each request, in the order of ids. `visit` must not erase any request.
  template <typename Visit>
  void for_each(const Visit& visit) {
    for (auto& [id, state] : requests_) visit(state);
  }

  // Calls `visit(state)` for each request without a final answer, in the order of ids. `visit` may erase that
  // request.
  template <typename Visit>
  void for_each_unanswered(const Visit& visit) {
    for (auto it = requests_.begin(); it != requests_.end();) {
      RequestState& state = it->second;
      ++it;  // before visit(), which may erase the request
      if (!state.is_ended) visit(state);
    }
  }

  [[nodiscard]] bool is_empty() const { return requests_.empty(); }
  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  [[nodiscard]] const RequestTable& entries() const { return requests_; }

 private:
  RequestTable requests_;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_OPEN_REQUESTS_HPP_
