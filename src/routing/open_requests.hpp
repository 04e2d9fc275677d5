// The table of open requests: those that are owed an answer or have an attempt in flight.
#ifndef DISPATCHER_ROUTING_OPEN_REQUESTS_HPP_
#define DISPATCHER_ROUTING_OPEN_REQUESTS_HPP_

#include <cstddef>

#include "routing/endpoint.hpp"
#include "routing/request_state.hpp"

namespace dispatcher::routing {

// Owned by one Router and used on its thread. References to a request stay valid until it is erased.
class OpenRequests {
 public:
  // Adds a request whose id is not in the table yet.
  RequestState& insert(RequestState state);
  // Null: no such request is open.
  [[nodiscard]] RequestState* find(const RequestId& id);
  // The request, if this attempt of it is in flight. Null: it is not.
  [[nodiscard]] RequestState* find_in_flight(const RequestId& id, int attempt);
  // Erases the request if it is owed no answer and has no attempt in flight; `state` is void then.
  void erase_if_settled(const RequestState& state);

  // Counts, at each attempt that waits at the endpoint, that it was passed: endpoints answer in order, so
  // that attempts sent before the answered one and still waiting may be lost.
  void count_later_send_answered(const Endpoint& endpoint, const RequestState& answered);

  // Calls `visit(state)` for each request that is owed an answer, by id; it may erase that request.
  template <typename Visit>
  void for_each_unanswered(const Visit& visit) {
    for (auto it = requests_.begin(); it != requests_.end();) {
      RequestState& state = it->second;
      ++it;  // the request may be erased
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
