// What a dispatcher knows of its requests, attempts and endpoints: the plain state that the model dispatcher
// changes and the invariants read.
#ifndef DISPATCHER_TESTS_ROUTING_DISPATCHER_STATE_HPP_
#define DISPATCHER_TESTS_ROUTING_DISPATCHER_STATE_HPP_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "routing/router.hpp"

namespace dispatcher::routing::testing {

// One attempt of a request.
struct ModelAttempt {
  EndpointId endpoint;
  bool is_at_reader = false;           // has no effect, however it ends
  bool requires_prompt_state = false;  // at a writer that does not read prompts
  Time started_at{}, deadline{};
  Time connect_by{};                          // zero: no limit
  std::optional<Time> cancellation_shows_at;  // when a cancelled attempt's end is known
  bool is_active = true, has_first_token = false;
  bool may_have_run = false;  // it ended without proof that it had no effect
  bool is_uncounted = false;  // a failed connection that does not count towards max_attempts
  bool is_delivered = true;   // else it was written, and has not reached its endpoint yet
};

// A request that the router owes a final answer, or has answered.
struct ModelRequest {
  Request request;
  std::shared_ptr<const Settings> settings;  // those that it was admitted under
  RequestClass request_class;
  std::vector<ModelAttempt> attempts;
  std::optional<EndpointId> prompt_state_at;  // the reader that holds its prompt state
  Time prompt_state_idle_since{};
  // A release came while a writer waited for the state, and spared it: the dispatcher repeats it when the
  // attempt has ended.
  bool owes_release = false;
  bool has_final_answer = false, has_first_token = false, has_client_left = false;

  // Nothing may be sent for it any more.
  [[nodiscard]] bool is_over() const { return has_final_answer || has_first_token || has_client_left; }
  [[nodiscard]] std::ptrdiff_t active_attempt_count() const {
    return std::ranges::count_if(attempts, [](const ModelAttempt& attempt) { return attempt.is_active; });
  }
  // Whether an attempt has reached its endpoint, which works on it or waits for the prompt's state.
  [[nodiscard]] bool has_delivered_attempt() const {
    return std::ranges::any_of(
        attempts, [](const ModelAttempt& attempt) { return attempt.is_active && attempt.is_delivered; });
  }
};

// An endpoint that a list named, now or earlier.
struct ModelEndpoint {
  EndpointInfo info;
  Role role{};
  std::optional<Time> drained_since;  // draining or removed
  bool is_offline = false;            // by the operators
};

// All that a dispatcher knows at one time. The requests stay in the table when they are over.
struct DispatcherState {
  std::shared_ptr<const Settings> settings;  // those of new requests
  Time now = std::chrono::seconds(1000);
  std::map<EndpointId, ModelEndpoint> endpoints;
  std::map<RequestId, ModelRequest> requests;
  std::multimap<Time, std::uint64_t> timers;  // tags, by when they are due
};

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_ROUTING_DISPATCHER_STATE_HPP_
