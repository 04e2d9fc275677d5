// What a router knows of one open request. Support: data only.
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
enum class Phase { kNeedsRead, kReading, kNeedsWriter, kWriting, kStreaming };

// One open request and its attempts.
struct RequestState {
  Request request;
  std::shared_ptr<const Settings> settings;     // those that it was admitted under
  const RequestClass* request_class = nullptr;  // among them
  Phase phase = Phase::kNeedsRead;
  bool is_in_flight = false;     // an attempt is out
  bool is_ended = false;         // no answer is owed any more
  bool is_cancelled = false;     // the attempt in flight is being cancelled
  bool is_over_quota = false;    // its tenant had used its quota up
  bool is_counted_late = false;  // counted as late before its first token
  bool holds_state = false;      // its prompt's state waits at `reader`
  bool may_have_run = false;     // an effect may have taken place
  int attempt_count = 0;
  int charged_attempts = 0;      // of max_attempts
  int later_sends_answered = 0;  // later own sends to the same endpoint that were answered first
  EndpointId endpoint;           // of the attempt in flight
  EndpointId reader;
  std::vector<EndpointId> failed_endpoints;
  Time sent_at{};              // of the attempt in flight
  Time idle_since{};           // when the last attempt ended
  Time first_run_sent_at{};    // of the first attempt that may have had an effect ...
  std::string first_run_zone;  // ... and where it was sent
  int first_run_cell = 0;
  std::uint64_t affinity_key = 0;        // of its shared prefix, or of its session: see prefix_affinity.hpp
  std::uint64_t session_key = 0;         // of its session and shared prefix together
  bool fetches_from_other_cell = false;  // the attempt in flight does, for the prompt's state
  double start_work_tokens = 0;          // expected work of that attempt up to its first token
  double tokens_to_read = 0;             // prompt tokens that it still has to read
  int predicted_cached_tokens = 0;       // that the reader is expected to have in its prefix cache
  Duration read_time{};                  // that the reader took
  Time stream_started_at{};

  // The number of the attempt in flight, or of the last one.
  [[nodiscard]] int current_attempt() const { return attempt_count - 1; }
  // Time within which its first token is wanted.
  [[nodiscard]] Duration latency_objective() const {
    return request_class->latency_objective +
           scaled(request_class->latency_objective_per_1000_tokens, request.prompt_tokens / 1000.0);
  }
};

using RequestTable = std::map<RequestId, RequestState>;  // by id

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_REQUEST_STATE_HPP_
