// The state of a dispatcher: its requests, attempts and endpoints. The model dispatcher updates it, and the
// invariants are checked against it.
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
  bool is_at_reader = false;           // only reads the prompt: has no effect, however it ends
  bool requires_prompt_state = false;  // is at a writer, and writers cannot read prompts
  Time started_at{}, deadline{};
  Time connect_by{};                              // zero if there is no limit
  std::optional<Time> cancellation_completes_at;  // when a cancelled attempt ends; empty if not cancelled
  bool is_active = true, has_first_token = false;
  bool may_have_run = false;  // it has ended without proof that it had no effect
  bool is_uncounted = false;  // its connection failed, which does not count towards max_attempts
  bool is_delivered = true;   // false if it was written and has not reached its endpoint yet
};

// A request that was submitted to the router, before and after its final answer.
struct ModelRequest {
  Request request;
  std::shared_ptr<const Settings> settings;  // the settings that it was admitted under
  RequestClass request_class;
  std::vector<ModelAttempt> attempts;
  std::optional<EndpointId> prompt_state_at;  // the reader that holds its prompt state
  Time prompt_state_idle_since{};
  // The router released the prompt state while a delivered attempt was fetching it. That release does not
  // remove the state, so the dispatcher repeats it when the attempt has ended.
  bool is_release_pending = false;
  bool has_final_answer = false, has_first_token = false, has_client_left = false;

  // Returns whether no further attempt may be sent for it.
  [[nodiscard]] bool is_over() const { return has_final_answer || has_first_token || has_client_left; }
  [[nodiscard]] std::ptrdiff_t active_attempt_count() const {
    return std::ranges::count_if(attempts, [](const ModelAttempt& attempt) { return attempt.is_active; });
  }
  // Returns whether an active attempt has reached its endpoint, which then works on it or waits for the
  // prompt's state.
  [[nodiscard]] bool has_delivered_attempt() const {
    return std::ranges::any_of(
        attempts, [](const ModelAttempt& attempt) { return attempt.is_active && attempt.is_delivered; });
  }
};

// An endpoint that the current endpoint list or an earlier one names.
struct ModelEndpoint {
  EndpointInfo info;
  Role role{};
  std::optional<Time> drained_since;  // when it became draining or removed; empty if it is ready
  bool is_offline = false;            // drained by the operators
};

// The complete state of a dispatcher at one time. Requests stay in the table after they are over.
struct DispatcherState {
  std::shared_ptr<const Settings> settings;  // the settings that new requests are admitted under
  Time now = std::chrono::seconds(1000);
  std::map<EndpointId, ModelEndpoint> endpoints;
  std::map<RequestId, ModelRequest> requests;
  std::multimap<Time, std::uint64_t> timers;  // tags of the timers that are set, by due time
};

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_ROUTING_DISPATCHER_STATE_HPP_
