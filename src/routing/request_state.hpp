// What a router knows about one open request. The prompt's "state" is its KV cache at the reader, which a
// writer fetches. Contains data only.
#ifndef DISPATCHER_ROUTING_REQUEST_STATE_HPP_
#define DISPATCHER_ROUTING_REQUEST_STATE_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "routing/events.hpp"
#include "routing/units.hpp"

namespace dispatcher::routing {

// What a request waits for, or what its attempt in flight does.
enum class Phase {
  kNeedsRead,    // waits for an endpoint that reads its prompt
  kReading,      // a reader processes the prompt
  kNeedsWriter,  // the prompt's state waits at its reader
  kWriting,      // sent to an endpoint that generates the answer; no token has arrived
  kStreaming     // the first token has arrived
};

// One open request and its attempts.
struct RequestState {
  Request request;
  std::shared_ptr<const Settings> settings;     // under which it was admitted
  const RequestClass* request_class = nullptr;  // its class, owned by these settings
  Phase phase = Phase::kNeedsRead;
  bool is_in_flight = false;      // an attempt is in flight
  bool is_ended = false;          // it has its final answer or needs none
  bool is_cancelled = false;      // the attempt in flight is being cancelled
  bool is_over_quota = false;     // its tenant's quota was used up when it arrived
  bool is_counted_late = false;   // counted as late before its first token
  bool has_prompt_state = false;  // its prompt's state waits at `reader`
  bool may_have_run = false;      // it may have been executed, with an effect
  int attempt_count = 0;
  int charged_attempts = 0;      // attempts that count against max_attempts
  int later_sends_answered = 0;  // this router's later sends to the same endpoint that were answered first
  EndpointId endpoint;           // endpoint of the attempt in flight
  EndpointId reader;             // endpoint that read the prompt last
  std::vector<EndpointId> failed_endpoints;  // endpoints that further attempts avoid
  Time sent_at{};                            // when the attempt in flight was sent
  Time idle_since{};  // end of the last attempt that renewed the reservation; its limit counts from then on
  Time first_run_sent_at{};              // send time of the first attempt that may have had an effect
  std::string first_run_zone;            // zone of the endpoint of that attempt
  int first_run_cell = 0;                // cell of that endpoint
  std::uint64_t affinity_key = 0;        // see PrefixAffinity::affinity_key()
  std::uint64_t session_key = 0;         // see session_key() of cached_prompts.hpp
  bool fetches_from_other_cell = false;  // the attempt in flight fetches the prompt's state from another cell
  double start_work_tokens = 0;     // expected work of that attempt until its first token; see start_work()
  double tokens_to_read = 0;        // prompt tokens that it still has to read
  int predicted_cached_tokens = 0;  // prompt tokens that its endpoint is expected to have cached
  Duration read_time{};             // duration of the reader's attempt; zero if no reader has read the prompt
  Time stream_started_at{};         // when the first token arrived

  // Returns the number of the attempt in flight, or of the last one.
  [[nodiscard]] int current_attempt() const { return attempt_count - 1; }
  // Returns the time after arrival within which the first token is wanted.
  [[nodiscard]] Duration latency_objective() const {
    return request_class->latency_objective +
           scaled(request_class->latency_objective_per_1000_tokens, request.prompt_tokens / 1000.0);
  }
};

using RequestTable = std::map<RequestId, RequestState>;  // by id

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_REQUEST_STATE_HPP_
